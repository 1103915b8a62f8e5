//! Settings files of the processes of a fleet.

use std::{
    fmt::Write,
    fs::File,
    io,
    os::unix::fs::OpenOptionsExt,
    path::Path, //
};

use camphordale_bundle::public_to_text;

use super::{
    ACCESS_KEY,
    CALLER_PORT,
    Fleet,
    OPERATOR_PORT,
    PEER_PORT,
    TARGET_PORT,
    VmLocation,
    domain_name, //
};

/// Shared secret of the VMs of a fleet.
const PEER_SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Writes a file that only its owner can read, which the daemon requires of files with keys.
pub(super) fn write_private(file: &Path, text: &str) -> io::Result<()> {
    let mut options = File::options();
    let out = options.create(true).write(true).truncate(true).mode(0o600);
    io::Write::write_all(&mut out.open(file)?, text.as_bytes())
}

/// Returns the settings of one daemon.
pub(super) fn daemon_settings(fleet: &Fleet, location: VmLocation) -> String {
    let number = location.number();
    let control = location.vm == 1;
    let address = |port| fleet.address(location, port);
    let outer = match fleet.options.programs.link {
        Some(_) => (fleet.outer_ip(location), PEER_PORT).into(),
        None => address(PEER_PORT),
    };
    let operator = public_to_text(&fleet.operator_key);
    let mut text = format!(
        "vm: {number}\ndomain: {}\nroles: {{entry: true, control: {control}}}\n\
         callers: {{listen: \"{}\", limits: {{per_source: 1000}}}}\n\
         targets: {{listen: \"{}\", keys: [{ACCESS_KEY}], limits: {{per_source: 1000}}}}\n\
         operators:\n  listen: \"{}\"\n  key: {ACCESS_KEY}\n  first:\n    needed: 1\n    keys:\n      \
         - {{name: amina, key: {operator}}}\n\
         peers:\n  listen: \"{}\"\n  inner: \"{}\"\n  outer: \"{outer}\"\n  source_ip: {}\n  \
         send: 1\n  keys: [{{id: 1, secret: {PEER_SECRET}}}]\n",
        domain_name(location.domain),
        address(CALLER_PORT),
        address(TARGET_PORT),
        address(OPERATOR_PORT),
        address(PEER_PORT),
        address(PEER_PORT),
        address(PEER_PORT).ip(),
    );
    if control {
        let _ = writeln!(text, "data: vm{number}.data");
    }
    text.push_str("control:\n  voters:\n");
    for domain in 1..=fleet.options.domains {
        let voter = VmLocation { domain, vm: 1 };
        let is_relayed = fleet.options.programs.link.is_some() && domain != location.domain;
        let ip = match is_relayed {
            true => fleet.outer_ip(voter),
            false => fleet.address(voter, PEER_PORT).ip(),
        };
        let _ = writeln!(
            text,
            "    - {{vm: {}, address: \"{ip}:{PEER_PORT}\"}}",
            voter.number()
        );
    }
    let _ = writeln!(text, "group: {{size: {}}}", fleet.options.vms.min(5));
    text.push_str(&fleet.options.extra_settings);
    text
}

/// Returns the configuration of the relay.
pub(super) fn link_settings(fleet: &Fleet) -> String {
    let mut text = String::from("domains:\n");
    for domain in 1..=fleet.options.domains {
        let _ = writeln!(
            text,
            "  - {{name: {}, prefix: \"{}/24\"}}",
            domain_name(domain),
            fleet.ip(domain, 0)
        );
    }
    text.push_str("links:\n");
    for domain in 1..=fleet.options.domains {
        for vm in 1..=fleet.options.vms {
            let location = VmLocation { domain, vm };
            let _ = writeln!(
                text,
                "  - {{listen: \"{}:{PEER_PORT}\", to: \"{}\", domain: {}}}",
                fleet.outer_ip(location),
                fleet.address(location, PEER_PORT),
                domain_name(domain)
            );
        }
    }
    text
}
