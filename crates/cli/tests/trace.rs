//! Tests of `camphorctl trace`.

#![allow(clippy::unwrap_used)]

use camphordale_cli::{
    Exit,
    run, //
};
use rstest::rstest;

const LOG: &str = r#"
not a log line
  1.0 core-1 {"msg":"keys begin to move","ts":"2026-01-31T10:00:01.0Z","node":"core-1","service":"s","from":10,"to":20,"target":"t2"}
  1.1 core-1 {"msg":"order not carried out","ts":"2026-01-31T10:00:01.1Z","node":"core-1","target":"t1","answer":"Lost { sent: true }"}
  1.2 core-1 {"msg":"keys begin to move","ts":"2026-01-31T10:00:01.2Z","node":"core-1","service":"s","from":30,"to":40,"target":"t3"}
  1.3 front-1 {"msg":"repeated","ts":"2026-01-31T10:00:01.3Z","node":"front-1","request":"r1","reason":"lost","service":"s","target":"t1","key":15}
  1.4 front-1 {"msg":"refused","ts":"2026-01-31T10:00:01.4Z","node":"front-1","request":"r1","reason":"no-holder","service":"s","target":"t1","key":15}
  1.5 front-2 {"msg":"refused","ts":"2026-01-31T10:00:01.5Z","node":"front-2","request":"r2","reason":"full","service":"p","target":"-","key":null}
  0.1 front-1 {"msg":"refused","ts":"2026-01-31T10:00:20.0Z","node":"front-1","request":"d1","reason":"lost","service":"s","target":"t7","fingerprint":"ab"}
  0.2 core-1 {"msg":"target","ts":"2026-01-31T10:00:21.0Z","node":"core-1","target":"t7","state":"Ready"}
  0.3 front-1 {"msg":"refused","ts":"2026-01-31T10:00:22.0Z","node":"front-1","request":"x1","reason":"lost","service":"s","target":"t7","fingerprint":"cd"}
  0.4 core-1 {"msg":"target","ts":"2026-01-31T10:00:23.0Z","node":"core-1","target":"t77","state":"Ready"}
  0.5 front-2 {"msg":"refused","ts":"2026-01-31T10:00:40.0Z","node":"front-2","request":"d2","reason":"quarantined","service":"s","target":"-","fingerprint":"ab","crashed":"t7,t8,t9"}
  0.6 front-2 {"msg":"refused","ts":"2026-01-31T10:00:50.0Z","node":"front-2","request":"d3","reason":"quarantined","service":"s","target":"-","fingerprint":"ab","crashed":"t7,t8,t9"}
"#;

fn trace(request: &str) -> (Exit, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("log");
    std::fs::write(&file, LOG).unwrap();
    let args = ["trace".into(), request.into(), file.display().to_string()];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&args, &mut out, &mut err);
    (exit, String::from_utf8(out).unwrap())
}

#[test]
fn decisions_and_related_state_lines_are_shown() {
    let (exit, out) = trace("r1");
    assert_eq!(exit, Exit::Done);
    assert!(
        out.contains("\"repeated\"") && out.contains("\"refused\""),
        "{out}"
    );
    assert!(
        out.contains("\"to\":20") && out.contains("order not carried out"),
        "{out}"
    );
    assert!(!out.contains("\"to\":40"), "{out}");
    assert!(out.contains("cause: the key had no holder"), "{out}");
}

/// The crashes may be older than other context, and happened to attempts with other ids.
#[test]
fn a_quarantined_request_is_shown_with_the_crashes_before_it() {
    let (exit, out) = trace("d2");
    assert_eq!(exit, Exit::Done);
    for shown in [
        "\"d1\"",
        "\"d2\"",
        "\"target\":\"t7\",\"state\"",
        "cause: targets crashed",
    ] {
        assert!(out.contains(shown), "{shown}: {out}");
    }
    for other in ["\"x1\"", "\"t77\"", "\"d3\""] {
        assert!(!out.contains(other), "{other}: {out}");
    }
}

#[rstest]
#[case("r2", Exit::Done)]
#[case("nobody", Exit::Usage)]
fn a_request_without_lines_is_a_usage_error(#[case] request: &str, #[case] expected: Exit) {
    assert_eq!(trace(request).0, expected);
}
