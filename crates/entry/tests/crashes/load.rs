//! Load in which three in a hundred requests of a class are the one that crashes its targets.

use camphordale_entry::Refusal;

use crate::world::{
    DEADLY,
    Outcome,
    READS,
    World,
    ms, //
};

/// The other requests are served as well as without it once it is quarantined, and the messages
/// that this takes are few.
#[test]
fn three_in_a_hundred_requests_crash_their_targets() {
    for seed in 0..3 {
        let mut world = World::new(seed, 8, 12);
        let mut fingerprint = 100;
        let mut measured = 0;
        for step in 0..4000u32 {
            let vm = (step % 8) as usize;
            if step % 100 < 3 {
                world.request(vm, READS, DEADLY);
            } else {
                fingerprint += 1;
                world.request(vm, READS, fingerprint);
            }
            world.run(ms(5));
            if step == 1000 {
                // From now on the deadly request costs nothing.
                measured = world.outcomes.len();
            }
        }
        world.run(ms(2000));
        assert_eq!(world.sends_after_third_crash(), 0, "seed {seed}");
        let crashes = world.crashes.len();
        assert!(crashes <= 8, "seed {seed}: {crashes}");
        let later = &world.outcomes[measured..];
        let failed = later.iter().filter(|(_, fingerprint, outcome)| {
            *fingerprint != DEADLY && *outcome != Outcome::Served
        });
        assert_eq!(failed.count(), 0, "seed {seed}");
        let let_through = later.iter().filter(|(_, fingerprint, outcome)| {
            let refused = *outcome == Outcome::Refused(Refusal::Quarantined);
            *fingerprint == DEADLY && !refused
        });
        assert_eq!(let_through.count(), 0, "seed {seed}");
        // One message of each VM at its start, and a few for each request on a crashed target.
        let messages = (world.reports, world.updates);
        assert!(messages.0 < 8 + 20 * crashes, "seed {seed}: {messages:?}");
        assert!(messages.1 < 8 * 4 * crashes, "seed {seed}: {messages:?}");
    }
}
