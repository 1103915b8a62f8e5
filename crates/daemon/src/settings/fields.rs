//! The list of all fields. A test compares it with the reference page for operators.

/// One field of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Path of the field; `[]` denotes any element of a list.
    pub path: &'static str,
    /// Default value; empty if the field has none.
    pub default: &'static str,
    /// Whether a change takes effect without a restart.
    pub reload: bool,
    /// Description for operators.
    pub meaning: &'static str,
}

const fn field(path: &'static str, default: &'static str, meaning: &'static str) -> Field {
    Field {
        path,
        default,
        reload: false,
        meaning,
    }
}

const fn reloadable_field(
    path: &'static str,
    default: &'static str,
    meaning: &'static str,
) -> Field {
    Field {
        path,
        default,
        reload: true,
        meaning,
    }
}

/// All fields, in the order of the reference page for operators.
pub const FIELDS: &[Field] = &[
    field(
        "vm",
        "",
        "number of the VM, unique in the deployment; at least 1",
    ),
    field(
        "domain",
        "",
        "failure domain of the VM; lower-case letters, digits and hyphens",
    ),
    field(
        "roles.entry",
        "true",
        "the VM serves callers and may vote in its domain's group",
    ),
    field(
        "roles.control",
        "false",
        "the VM may vote in the control group; required for the VMs in `control.voters`",
    ),
    field(
        "data",
        "",
        "folder for durable files; required for control VMs",
    ),
    field(
        "callers.listen",
        "",
        "address for callers; the section is required for entry VMs; port 0 lets the system choose",
    ),
    field("callers.limits.connections", "4096", "open connections"),
    field(
        "callers.limits.per_source",
        "2048",
        "open connections from one IP address; behind a load balancer, all callers share few addresses",
    ),
    field(
        "callers.limits.header_time",
        "5s",
        "time to receive a header",
    ),
    field("callers.limits.header_size", "16KiB", "largest header"),
    field("callers.limits.body_time", "10s", "time to receive a body"),
    field("callers.limits.body_size", "1MiB", "largest body"),
    field(
        "callers.limits.idle_time",
        "30s",
        "time that a connection stays open between requests",
    ),
    field(
        "callers.limits.answer_size",
        "8MiB",
        "largest answer of a target that is passed on",
    ),
    field(
        "targets.listen",
        "",
        "address for targets; the section is required for entry VMs; port 0 lets the system choose",
    ),
    field("targets.limits.connections", "1024", "open connections"),
    field(
        "targets.limits.per_source",
        "64",
        "open connections from one IP address",
    ),
    field(
        "targets.limits.header_time",
        "2s",
        "time to receive a header",
    ),
    field("targets.limits.header_size", "8KiB", "largest header"),
    field("targets.limits.body_time", "2s", "time to receive a body"),
    field("targets.limits.body_size", "64KiB", "largest body"),
    field(
        "targets.limits.idle_time",
        "30s",
        "time that a connection stays open between requests",
    ),
    reloadable_field(
        "targets.keys",
        "",
        "bearer keys that a target may present, each at least 32 hexadecimal digits",
    ),
    reloadable_field(
        "targets.keys_file",
        "",
        "file with these keys, one a line; instead of `targets.keys`",
    ),
    field(
        "operators.listen",
        "",
        "address for operators, health and metrics",
    ),
    reloadable_field(
        "operators.key",
        "",
        "bearer key that operators present, at least 32 hexadecimal digits",
    ),
    reloadable_field(
        "operators.key_file",
        "",
        "file with this key; instead of `operators.key`",
    ),
    field(
        "operators.first.needed",
        "",
        "signatures that the first bundle needs; the section is required for control VMs",
    ),
    field("operators.first.keys[].name", "", "name of an operator"),
    field(
        "operators.first.keys[].key",
        "",
        "the operator's public key, 64 hexadecimal digits",
    ),
    field("peers.listen", "", "address for other VMs, TCP and UDP"),
    field(
        "peers.inner",
        "peers.listen",
        "address advertised to VMs of the same domain",
    ),
    field(
        "peers.outer",
        "peers.inner",
        "address advertised to VMs of other domains",
    ),
    field(
        "peers.source_ip",
        "",
        "own IP address from which connections are opened; chosen by the system if absent",
    ),
    field("peers.keys[].id", "", "id of a key that VMs share"),
    field("peers.keys[].secret", "", "the key, 64 hexadecimal digits"),
    field(
        "peers.keys[].secret_file",
        "",
        "file with this key; instead of `secret`",
    ),
    field(
        "peers.send",
        "the only key",
        "id of the key that the VM sends with; required if there are several keys",
    ),
    field(
        "control.voters[].vm",
        "",
        "VM that votes in a new control group; 1 to 7 voters, the same list on every VM",
    ),
    field(
        "control.voters[].address",
        "",
        "the voter's address for other VMs",
    ),
    field(
        "control.heartbeat",
        "100ms",
        "time between heartbeats of the control leader",
    ),
    field(
        "control.election",
        "400ms",
        "least time without a leader before an election, above 3 heartbeats; the greatest is twice this value",
    ),
    field(
        "control.tolerate",
        "(voters - 1) / 2",
        "voters that may be lost at a time; the loss of f takes 2f + 1 voters",
    ),
    field(
        "group.size",
        "5",
        "greatest number of voters of the domain group, 1 to 5",
    ),
    field(
        "group.heartbeat",
        "40ms",
        "time between heartbeats of the domain leader",
    ),
    field(
        "group.election",
        "150ms",
        "least time without a leader before an election, above 3 heartbeats; the greatest is twice this value",
    ),
    field(
        "group.vm_lease",
        "500ms",
        "lease of an entry VM, above 2 renewals",
    ),
    field(
        "group.vm_renew",
        "100ms",
        "time between renewals of an entry VM's lease",
    ),
    field(
        "group.target_lease",
        "600ms",
        "lease of a target, above 2 renewals",
    ),
    field(
        "group.target_renew",
        "150ms",
        "time between renewals of a target's lease",
    ),
    field(
        "group.stall",
        "100ms",
        "time that a sender may take between its last lease check and the write of a request",
    ),
    field(
        "group.form_wait",
        "1s",
        "time that the control leader waits for more VMs of a domain before it forms the group",
    ),
    field(
        "group.tolerate",
        "(size - 1) / 2",
        "voters that may be lost at a time; the loss of f takes 2f + 1 voters",
    ),
    field("log.format", "text", "`text` or `json`"),
    reloadable_field(
        "log.level",
        "info",
        "`critical`, `error`, `warning`, `info`, `debug` or `trace`",
    ),
    reloadable_field(
        "drain.notice",
        "3s",
        "time during which `/readyz` answers 503 before the listeners close",
    ),
    reloadable_field(
        "drain.limit",
        "30s",
        "longest time that a shutdown waits for requests in flight",
    ),
];
