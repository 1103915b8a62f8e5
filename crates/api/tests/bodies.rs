//! JSON formats of the bodies.

use camphordale_api::{
    AuditBody, BodyError, BundleParts, Explanation, SignedBundleBody, SubmitReply,
};
use camphordale_types::{Digest, Side, Token};

// Guards against a change of the format of `.signed` files, which operators archive.
#[test]
fn signed_bundle_format() {
    let body = SignedBundleBody::from((vec![0, 255], vec![("amina".into(), vec![7; 64])]));
    let text = serde_json::to_string(&body).unwrap();
    let expected = format!(
        r#"{{"bytes":"00ff","signatures":[{{"operator":"amina","bytes":"{}"}}]}}"#,
        "07".repeat(64)
    );
    assert_eq!(text, expected);
    assert_eq!(
        serde_json::from_str::<SignedBundleBody>(&text).unwrap(),
        body
    );
    let odd = text.replace("00ff", "00f");
    assert!(serde_json::from_str::<SignedBundleBody>(&odd).is_err());
}

// Guards against counting one operator twice and against truncated signatures.
#[test]
fn malformed_signatures_are_refused() {
    let signed = |signatures| BundleParts::try_from(SignedBundleBody::from((vec![1], signatures)));
    let complete = ("amina".into(), vec![7; 64]);
    assert_eq!(
        signed(vec![complete.clone(), complete]),
        Err(BodyError::DuplicateSignature("amina".into()))
    );
    let operator = "budi".into();
    let found = 63;
    assert_eq!(
        signed(vec![("budi".into(), vec![7; 63])]),
        Err(BodyError::SignatureLength { operator, found })
    );
}

// Guards against treating a conflict with another bundle of the same version as acceptance.
#[test]
fn acceptance_is_by_digest() {
    let mut reply = SubmitReply {
        version: 4,
        digest: Digest::of(b"mine"),
        standing_version: 4,
        standing_digest: Some(Digest::of(b"other")),
        resent: false,
    };
    assert!(!reply.accepted());
    reply.standing_digest = Some(reply.digest);
    assert!(reply.accepted());
}

// Guards against tokens that are serialized as lists of numbers.
#[test]
fn tokens_are_text_and_may_be_absent() {
    let explanation = Explanation {
        service: "catalogue".into(),
        key: "k".into(),
        shard: 3,
        side: Side::Old,
        home: None,
        sender: None,
        owner: None,
        token: Some(Token {
            term: 1,
            epoch: 2,
            seq: 3,
        }),
        would_send_here: false,
        why: vec!["the shard has no owner".into()],
    };
    let value = serde_json::to_value(&explanation).unwrap();
    assert_eq!(value["token"], "1.2.3");
    assert_eq!(
        serde_json::from_value::<Explanation>(value).unwrap(),
        explanation
    );
}

// Guards against records that do not survive serialization unchanged: the tool verifies their
// hashes.
#[test]
fn audit_record_format() {
    let record = AuditBody {
        number: 2,
        at: 1_790_000_000,
        by: "amina,budi".into(),
        action: "submit bundle 2".into(),
        before: None,
        after: Some(Digest::of(b"2")),
        previous: Digest::of(b"1"),
        hash: Digest::of(b"record"),
    };
    let value = serde_json::to_value(&record).unwrap();
    assert_eq!(value["after"], Digest::of(b"2").to_string());
    assert!(value["before"].is_null());
    assert_eq!(serde_json::from_value::<AuditBody>(value).unwrap(), record);
}
