//! Bundles, leaders, and a deployment in service.

use camphordale_bundle::{
    SignedBundle,
    parse_bundle, //
};
use camphordale_control::Command;
use camphordale_node::{
    Call,
    ControlCall,
    ControlReply,
    Reply, //
};
use camphordale_types::{
    Bundle,
    VmId, //
};

use super::{
    Sim,
    VmSetup,
    ms, //
};

impl Sim {
    /// Returns a signed bundle that follows the latest one in the state of `vm`.
    pub fn next_bundle(&self, vm: VmId, slots: u32) -> SignedBundle {
        let control = self.process(vm).control.as_ref().unwrap();
        let standing = control.state().latest_bundle_id();
        let text = format!(
            "version: 1\noperators: {{needed: 1, keys: [{{name: x, key: \
             d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a}}]}}\nservices:\n  - \
             {{name: berths, route: {{prefix: /berths}}, key: {{segment: 1}}, shards: 4, \
             deadline: 300ms, slots: {slots}, connections: 60}}"
        );
        let bundle = Bundle {
            version: standing.map_or(1, |(version, _)| version + 1),
            previous: standing.map(|(_, digest)| digest),
            operators: self.operators(),
            ..parse_bundle(&text).unwrap()
        };
        let mut signed = SignedBundle::new(&bundle);
        signed.sign("amina", &self.key);
        signed
    }

    /// Returns a call that submits a bundle with `services` services.
    pub fn long_bundle(&self, vm: VmId, services: u32) -> Call {
        let next = self.next_bundle(vm, 4);
        let mut bundle = camphordale_bundle::decode(&next.bytes).unwrap();
        for number in 1..services {
            let mut service = bundle.services[0].clone();
            service.name = format!("berths-{number:04}").into();
            service.route.prefix = format!("/{number:0300}").into();
            bundle.services.push(service);
        }
        let mut signed = SignedBundle::new(&bundle);
        signed.sign("amina", &self.key);
        println!("bundle of {} bytes", signed.bytes.len());
        Call::Control(ControlCall::Execute(Command::SubmitBundle {
            signed,
            at: 0,
        }))
    }

    /// Submits a bundle on a voter and waits for the reply.
    pub fn submit(&mut self, vm: VmId, slots: u32) -> ControlReply {
        let signed = self.next_bundle(vm, slots);
        let command = Command::SubmitBundle { signed, at: 0 };
        match self.call_and_wait(vm, Call::Control(ControlCall::Execute(command))) {
            Reply::Control(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the leader of the control group according to the running voters.
    pub fn control_leader(&self) -> Option<VmId> {
        let processes = self.running_vms().into_iter().map(|vm| self.process(vm));
        let controls = processes.filter_map(|process| process.control.as_ref());
        let newest = controls.max_by_key(|control| control.term())?;
        newest.leader()
    }

    /// Returns the leader of the domain group, if it holds a valid lease.
    pub fn domain_leader(&self) -> Option<VmId> {
        self.running_vms().into_iter().find(|&vm| {
            let status = self.process(vm).entry.status(self.local_time(vm));
            status.leader == Some(vm) && status.lease_valid
        })
    }

    /// Returns whether a VM holds a valid lease.
    pub fn leased(&self, vm: VmId) -> bool {
        self.process(vm)
            .entry
            .status(self.local_time(vm))
            .lease_valid
    }

    /// Returns whether every entry VM holds a lease.
    pub fn all_leased(&self) -> bool {
        let mut entries = self.vms.values().filter(|machine| machine.setup.entry);
        entries.all(|machine| {
            machine.process.is_some() && !machine.paused && self.leased(machine.setup.vm)
        })
    }

    /// Starts a simulation and waits until a bundle is in force and every entry VM has a lease.
    pub fn serving(seed: u64, setups: Vec<VmSetup>, targets: usize) -> Sim {
        let mut sim = Sim::new(seed, setups);
        sim.wait_until("a control leader", ms(5_000), |sim| {
            sim.control_leader().is_some()
        });
        let voter = sim.control_leader().unwrap();
        let reply = sim.submit(voter, 4);
        assert!(matches!(reply, ControlReply::Applied(_)), "{reply:?}");
        let domains: Vec<_> = sim.vms.values().filter(|v| v.setup.entry).collect();
        let entries = domains.iter().map(|v| v.setup.vm).collect();
        sim.add_targets(targets, entries);
        let took = sim.wait_until("leases", ms(15_000), Sim::all_leased);
        sim.advance(ms(6_000));
        println!("leases after {took} ms");
        sim
    }
}
