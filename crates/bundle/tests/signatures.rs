//! Signatures count only if they are valid and made by different, known operators.

use camphordale_bundle::{
    BundleError,
    SignedBundle,
    SigningKey,
    generate_key,
    key_from_text,
    key_to_text,
    parse_bundle,
    public_from_text,
    public_to_text, //
};
use camphordale_types::{
    Operator,
    Operators, //
};
use ed25519_dalek::Signer;
use rstest::rstest;

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn operators(needed: u32) -> Operators {
    let operator = |(name, seed): (&str, u8)| Operator {
        name: name.into(),
        key: key(seed).verifying_key().to_bytes(),
    };
    Operators {
        needed,
        keys: [("a", 1), ("b", 2), ("c", 3)].map(operator).to_vec(),
    }
}

fn unsigned() -> SignedBundle {
    let text = include_str!("../../../examples/bundles/wiratama.yaml");
    SignedBundle::new(&parse_bundle(text).expect("the example is valid"))
}

#[rstest]
#[case::none(&[], 0)]
#[case::one(&[("a", 1)], 1)]
#[case::two(&[("a", 1), ("b", 2)], 2)]
#[case::unknown_name(&[("a", 1), ("d", 2)], 1)]
#[case::key_of_another(&[("a", 1), ("b", 1)], 1)]
#[case::swapped(&[("a", 2), ("b", 1)], 0)]
#[case::one_wrong(&[("a", 1), ("b", 9), ("c", 3)], 2)]
fn valid_signatures_of_different_operators_count(
    #[case] signers: &[(&str, u8)],
    #[case] valid: u32,
) {
    let mut signed = unsigned();
    for (name, seed) in signers {
        signed.sign(name, &key(*seed));
    }
    for needed in 1..=3 {
        match signed.verify(&operators(needed)) {
            Ok(_) => assert!(valid >= needed),
            Err(error) => assert_eq!(error, BundleError::Signatures { valid, needed }),
        }
    }
}

/// Guards against a copied signature, or one key listed under two names, that counts twice towards
/// the required number.
#[test]
fn duplicates_count_once() {
    let mut signed = unsigned();
    signed.sign("a", &key(1));
    let copy = signed.signatures[0].clone();
    signed.signatures.push(copy.clone());
    assert!(signed.verify(&operators(2)).is_err());
    let mut listed_twice = operators(2);
    listed_twice.keys[1].key = listed_twice.keys[0].key;
    signed.sign("b", &key(1));
    assert!(signed.verify(&listed_twice).is_err());
    // An invalid signature of an operator does not hide a valid one.
    let mut invalid = copy;
    invalid.bytes[0] ^= 1;
    signed.signatures.insert(0, invalid);
    assert!(signed.verify(&operators(1)).is_ok());
}

#[test]
fn signature_covers_content_and_context() {
    let mut signed = unsigned();
    signed.sign("a", &key(1));
    let mut other = signed.clone();
    *other.bytes.last_mut().unwrap() ^= 1;
    assert!(other.verify(&operators(1)).is_err());
    // A signature over the digest without the prefix is invalid.
    let mut bare = signed.clone();
    bare.signatures[0].bytes = key(1).sign(&signed.digest().0).to_bytes().to_vec();
    assert!(bare.verify(&operators(1)).is_err());
    for length in [0, 63, 65] {
        let mut short = signed.clone();
        short.signatures[0].bytes.resize(length, 0);
        assert!(short.verify(&operators(1)).is_err());
    }
}

/// Guards against keys of small order, for which one signature verifies for every message.
#[test]
fn keys_of_small_order_are_rejected() {
    let mut point = [0; 32];
    point[0] = 1;
    let text = format!("01{}", "00".repeat(31));
    assert!(public_from_text(&text).is_err());
    let mut forged = unsigned();
    let mut bytes = vec![0; 64];
    bytes[0] = 1;
    forged.signatures.push(camphordale_bundle::Signature {
        operator: "a".into(),
        bytes,
    });
    let operators = Operators {
        needed: 1,
        keys: vec![Operator {
            name: "a".into(),
            key: point,
        }],
    };
    assert!(forged.verify(&operators).is_err());
}

#[test]
fn key_files_round_trip_and_errors_hide_the_secret() {
    let key = generate_key().unwrap();
    let text = key_to_text(&key);
    assert_eq!(key_from_text(&text), Ok(key.clone()));
    let public = public_to_text(&key);
    assert_eq!(
        public_from_text(&public),
        Ok(key.verifying_key().to_bytes())
    );
    let secret = text.trim();
    assert!(!format!("{key:?} {key:#?}").contains(&secret[..16]));
    let decimal = format!(
        "{}, {}, {}",
        key.as_bytes()[0],
        key.as_bytes()[1],
        key.as_bytes()[2]
    );
    assert!(!format!("{key:?}").contains(&decimal));
    for wrong in [
        &secret[1..],
        &format!("{secret}0"),
        &secret.replacen(|_| true, "g", 1),
    ] {
        let error = key_from_text(wrong).unwrap_err().to_string();
        assert!(!error.contains(&secret[8..24]), "{error}");
    }
}
