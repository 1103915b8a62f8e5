//! Invalid bundles are rejected with the line and the field of the error.

use camphordale_bundle::{
    BundleError,
    parse_bundle, //
};
use rstest::rstest;

const VALID: &str = "\
version: 2
previous: 1111111111111111111111111111111111111111111111111111111111111111
operators:
  needed: 1
  keys:
    - name: asha
      key: d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a
    - name: baraka
      key: 3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c
services:
  - name: reports
    route: {prefix: /reports, host: books.example}
    key:
      header: X-School
    shards: 64
    hot_keys:
      - dar
      - tanga
    repeat: by-method
    deadline: 5s
    domain_lease: 10s
    record_life: 10m
    new_percent: 25%
    slots: 4
    connections: 110
    queue: 16
    warm_up: 5s
    weights:
      imbalance: 1
      churn: 0.5
      unavailable: 4
  - name: catalogue
    route:
      prefix: /catalogue
    slots: 4
    connections: 110
";

/// Returns the valid text with `old` replaced by `new` in line `line`.
fn edited(line: usize, old: &str, new: &str) -> String {
    let mut lines: Vec<String> = VALID.lines().map(str::to_owned).collect();
    assert!(lines[line - 1].contains(old), "line {line} lacks {old}");
    lines[line - 1] = lines[line - 1].replacen(old, new, 1);
    lines.join("\n")
}

#[test]
fn valid_bundle_is_parsed_with_sorted_services() {
    let bundle = parse_bundle(VALID).unwrap();
    let names: Vec<&str> = bundle.services.iter().map(|s| &*s.name).collect();
    assert_eq!(names, ["catalogue", "reports"]);
}

/// Columns: line, replaced text, replacement, expected line, expected field, expected part of the
/// reason.
const INVALID_EDITS: &str = r"
1 | 2 | 0 | 1 | version | first version
1 | 2 | 1 | 2 | previous | from version 2 on
1 | 2 | two | 1 | version | invalid type
2 | previous | prev | 2 | bundle | unknown field `prev`
2 | 1111 | 111 | 2 | previous | 64 hexadecimal
2 | 1111 | zzzz | 2 | previous | 64 hexadecimal
4 | 1 | 0 | 4 | operators.needed | between 1 and the number of keys, 2
4 | 1 | 3 | 4 | operators.needed | between 1 and the number of keys, 2
8 | baraka | asha | 8 | operators.keys[1].name | asha is used twice
8 | baraka | Baraka | 8 | operators.keys[1].name | a-z, 0-9
9 | 3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c | d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a | 9 | operators.keys[1].key | the key is used twice
9 | 3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c | 0100000000000000000000000000000000000000000000000000000000000000 | 9 | operators.keys[1].key | not a usable ed25519
9 | 3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c | 0200000000000000000000000000000000000000000000000000000000000000 | 9 | operators.keys[1].key | not a usable ed25519
9 | 3d40 | 3d4 | 9 | operators.keys[1].key | not 64 hexadecimal digits
11 | reports | Reports | 11 | services[0].name | a-z, 0-9
11 | reports | '' | 11 | services[0].name | 1 to 64
32 | catalogue | reports | 32 | services[1].name | reports is used twice
12 | /reports | reports | 12 | services[0].route.prefix | must begin with /
12 | /reports | /re//ports | 12 | services[0].route.prefix | empty segment
12 | /reports | /reports?x | 12 | services[0].route.prefix | must begin with /
12 | books.example | books.example:80 | 12 | services[0].route.host | host name without port
12 | books.example | books_example | 12 | services[0].route.host | host name
12 | host: books.example | port: 80 | 12 | services[0].route | unknown field `port`
14 | header | cookie | 14 | services[0].key | unknown variant `cookie`
14 | X-School | 'X School' | 14 | services[0].key.header | not a header name
14 | header: X-School | segment: 64 | 14 | services[0].key.segment | more than 63
14 | header: X-School | query: a=b | 14 | services[0].key.query | query parameter
15 | 64 | 0 | 15 | services[0].shards | between 1 and 65536
15 | 64 | 65537 | 15 | services[0].shards | between 1 and 65536
15 | 64 | -1 | 15 | services[0].shards | invalid
34 | /catalogue | /catalogue\n    shards: 3 | 35 | services[1].shards | must be 0
34 | /catalogue | /catalogue\n    hot_keys: [x] | 35 | services[1].hot_keys | no hot keys
18 | tanga | dar | 18 | services[0].hot_keys[1] | dar is used twice
18 | tanga | '' | 18 | services[0].hot_keys[1] | between 1 and 1024 bytes
19 | by-method | sometimes | 19 | services[0].repeat | unknown variant
20 | 5s | 0s | 20 | services[0].deadline | between 1ms and 600s
20 | 5s | 601s | 20 | services[0].deadline | between 1ms and 600s
20 | 5s | 5 | 20 | services[0].deadline | not a duration
20 | 5s | 5 s | 20 | services[0].deadline | not a duration
20 | 5s | 99999999999999999h | 20 | services[0].deadline | not a duration
21 | 10s | 999ms | 21 | services[0].domain_lease | between 1s
21 | 10s | never | 21 | services[0].domain_lease | not a duration
22 | 10m | 4s | 22 | services[0].record_life | between 5s
23 | 25% | 101% | 23 | services[0].new_percent | between 0% and 100%
23 | 25% | 300 | 23 | services[0].new_percent | between 0% and 100%
23 | 25% | half | 23 | services[0].new_percent | not a percentage
23 | new_percent | new_per_cent | 23 | services[0] | unknown field
24 | 4 | 0 | 24 | services[0].slots | between 1 and 4096
24 | 4 | 4097 | 24 | services[0].slots | between 1 and 4096
24 | slots: 4 | repeat: never | 11 | services[0] | duplicate field
25 | 110 | 3 | 25 | services[0].connections | number of slots, 4
25 | 110 | 65537 | 25 | services[0].connections | number of slots, 4
26 | 16 | 65537 | 26 | services[0].queue | more than 65536
27 | 5s | 3601s | 27 | services[0].warm_up | between 0ns and 3600s
29 | 1 | -1 | 29 | services[0].weights.imbalance | not negative
30 | 0.5 | .nan | 30 | services[0].weights.churn | finite
31 | 4 | .inf | 31 | services[0].weights.unavailable | finite
31 | 4 | -0.0 | 31 | services[0].weights.unavailable | not negative
35 | slots: 4 | queue: 4 | 32 | services[1] | missing field `slots`
10 | services: | services: [ | 11 | bundle |
";

#[test]
fn errors_name_line_and_field() {
    for row in INVALID_EDITS.lines().filter(|row| !row.is_empty()) {
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let [line, old, new, at, path, part] = columns[..] else {
            panic!("{row}");
        };
        let new = new.replace("\\n", "\n");
        let error = parse_bundle(&edited(line.parse().unwrap(), old, &new)).expect_err(row);
        let BundleError::Yaml {
            line,
            field,
            reason,
        } = &error
        else {
            panic!("{row}: {error:?}");
        };
        assert_eq!(
            (line.to_string().as_str(), &**field),
            (at, path),
            "{row}: {error}"
        );
        assert!(reason.contains(part), "{row}: {error}");
    }
}

/// Guards against two services whose routes match the same requests with equal precedence, also if
/// the routes are written differently.
#[rstest]
#[case("/reports", "books.example")]
#[case("/reports/", "books.example")]
#[case("/reports", "Books.Example")]
fn equivalent_routes_are_rejected(#[case] prefix: &str, #[case] host: &str) {
    let text = edited(
        34,
        "prefix: /catalogue",
        &format!("prefix: {prefix}\n      host: {host}"),
    );
    let error = parse_bundle(&text).unwrap_err().to_string();
    assert_eq!(
        error,
        "line 34, services[1].route: the pair of host and prefix is used twice"
    );
}

#[test]
fn too_many_hot_keys_are_rejected() {
    let keys: Vec<String> = (0..65).map(|i| format!("k{i}")).collect();
    let text = edited(16, "hot_keys:", &format!("hot_keys: [{}]", keys.join(", ")));
    let text = text.replace("      - dar\n      - tanga\n", "");
    let error = parse_bundle(&text).unwrap_err().to_string();
    assert_eq!(
        error,
        "line 16, services[0].hot_keys: more than 64 hot keys"
    );
}
