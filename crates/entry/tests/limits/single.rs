//! The limit of one target at one entry VM.

use camphordale_entry::{
    LimitSource,
    TargetLimit, //
};

use crate::world::{
    ms,
    rate, //
};

const LEADER: LimitSource = LimitSource::Leader;

#[test]
fn a_right_is_used_once_and_in_time() {
    let mut limit = TargetLimit::default();
    assert!(limit.allows(LEADER, ms(0)));
    assert!(limit.answered(Some(rate(2.0)), ms(0), ms(10)));
    assert!(!limit.allows(LEADER, ms(20)));
    limit.granted(2, ms(20));
    assert!(limit.allows(LEADER, ms(30)));
    limit.take(LEADER, ms(30));
    limit.take(LEADER, ms(30));
    assert!(!limit.allows(LEADER, ms(30)));
    limit.granted(1, ms(40));
    assert!(limit.allows(LEADER, ms(1039)));
    assert!(!limit.allows(LEADER, ms(1040)));
}

/// An answer without a limit to a request that was sent before the limit was stated is no news.
#[test]
fn answers_in_the_wrong_order_do_not_end_a_limit() {
    let mut limit = TargetLimit::default();
    limit.answered(Some(rate(2.0)), ms(100), ms(200));
    assert!(!limit.answered(None, ms(150), ms(250)));
    assert_eq!(limit.limit(), Some(rate(2.0)));
    assert!(limit.answered(None, ms(210), ms(300)));
    assert_eq!(limit.limit(), None);
    // What the leader was told before that is older.
    assert!(!limit.told(Some(rate(2.0)), ms(220), ms(310)));
    assert!(limit.told(Some(rate(2.0)), ms(1400), ms(1410)));
}

/// While the leader is silent, a VM keeps to one request in each period of its own.
#[test]
fn a_silent_leader_leaves_a_small_share() {
    let mut sent = 0;
    for entry_id in 0..9 {
        let source = LimitSource::Own { vms: 9, entry_id };
        let mut limit = TargetLimit::default();
        limit.answered(Some(rate(18.0)), ms(0), ms(0));
        for step in 0..4000 {
            let now = ms(10_000 + step * 10);
            if limit.allows(source, now) {
                limit.take(source, now);
                sent += 1;
            }
        }
    }
    // 40 seconds at half of the limit.
    assert!((300..=369).contains(&sent), "{sent}");
}
