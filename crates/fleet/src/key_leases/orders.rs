//! Orders to targets that are called for their leases, and their answers.

use std::time::Duration;

use super::{
    FENCE_COUNTER_BITS,
    FIRST_ORDER_WAIT,
    LeaseTable,
    Phase,
    lease::{
        merge_adjacent,
        worst_case_duration, //
    }, //
};
use crate::{
    keys::{
        HandoverData,
        Key, //
    },
    registry::{
        Address,
        Holder, //
    },
    routing::{
        KeyDelivery,
        ServiceName, //
    },
    state::View,
};

/// Fencing token: orders the holders of a key. It rises with each new holder.
pub type FencingToken = u64;
/// Number of an order sent to a target.
pub type OrderId = u64;
/// Number of a connection that carries the grants to one holder.
pub type SessionId = u64;

/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// Delay before an order that the target did not carry out is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Grants or renews the lease of a key range.
    Grant {
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Fencing token.
        fence: FencingToken,
        /// Lease duration, counted from the arrival of the order.
        lease: Duration,
        /// Handover data from the previous holder.
        handover: Option<HandoverData>,
    },
    /// Stops new requests on a key range.
    Release {
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Fencing token.
        fence: FencingToken,
    },
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The grant is in force.
    Granted,
    /// The target has seen a higher fencing token.
    Fenced,
    /// The keys are released, with the handover data for the next holder.
    Released(Option<HandoverData>),
    /// Another target listens at the address. It did not carry the order out, and the one that was
    /// meant has ended, because two processes cannot listen there. Over a connection that carried
    /// orders to the target before, this shows nothing: one process has accepted them all.
    OtherTarget,
    /// The target stated, with this status, that it did not carry the order out.
    Refused(u16),
    /// The target answered with this status, which doesn't show whether it carried the order out.
    Unproved(u16),
    /// The leader did not send the order, because it was no longer certain to lead. This says nothing
    /// about the target.
    NotSent,
    /// No answer was received. If part of the order was sent, the target may still carry it out.
    Lost {
        /// Whether a byte of the order may have arrived.
        sent: bool,
    },
}

#[derive(Clone, Debug)]
pub(super) struct InFlightOrder {
    service: ServiceName,
    holder: Holder,
    sent_at: Duration,
    /// When the exchange is aborted. Until then the target may read the order.
    deadline: Duration,
    /// Requested lease duration; zero for a release.
    lease_duration: Duration,
    connection: OrderConnection,
    /// `expiry` of the lease before this order.
    previous_expiry: Duration,
}

/// The connection of an order. A connection ends with the process that accepted it, so it tells
/// incarnations of a target apart, which an id does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderConnection {
    /// A new connection, which is kept for further grants.
    Open(SessionId),
    /// The connection that was opened for this session. Once it is closed, the order is not sent.
    Kept(SessionId),
    /// A new connection for this order only. An answer to an earlier order that arrives late cannot
    /// be taken for the answer to this one.
    Single,
}

impl OrderConnection {
    /// The session of a grant.
    fn session(self) -> Option<SessionId> {
        match self {
            OrderConnection::Open(session) | OrderConnection::Kept(session) => Some(session),
            OrderConnection::Single => None,
        }
    }
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Number of the order.
    pub id: OrderId,
    /// The target.
    pub holder: Holder,
    /// Its address.
    pub address: Address,
    /// The order.
    pub order: Order,
    /// The connection over which it may be sent.
    pub connection: OrderConnection,
    /// When the exchange is aborted.
    pub deadline: Duration,
}

/// An answered order: the target, and the key ranges that its answer confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredOrder {
    /// The service.
    pub service: ServiceName,
    /// The target that answered.
    pub holder: Holder,
    /// First and last keys of the ranges whose first grant the target has acknowledged.
    pub confirmed: Vec<(Key, Key)>,
}

impl LeaseTable {
    /// Returns the orders that are due.
    pub fn due_orders(&mut self, view: &View, now: Duration) -> Vec<Dispatch> {
        let mut out = Vec::new();
        self.sessions.retain(|holder, _| view.is_current(holder));
        for leases in self.leases.values_mut() {
            merge_adjacent(leases);
        }
        let mut busy: Vec<Holder> = self
            .in_flight
            .values()
            .filter(|order| !order.lease_duration.is_zero())
            .map(|order| order.holder.clone())
            .collect();
        for (service, leases) in &mut self.leases {
            if view.key_delivery(service) == KeyDelivery::Heartbeat {
                continue;
            }
            for lease in leases {
                if lease.in_flight.is_some() || now < lease.next_renewal {
                    continue;
                }
                let Some(holder) = lease.range.holder.clone() else {
                    continue;
                };
                let target = view.targets.get(&holder.id);
                let Some(target) = target.filter(|t| t.incarnation == holder.incarnation) else {
                    continue;
                };
                let open = self.sessions.get(&holder).copied();
                let is_moving = matches!(lease.phase, Phase::Releasing { .. });
                let is_first = is_moving || open.is_none();
                let wait = match is_first {
                    true => self.times.call.mul_f64(FIRST_ORDER_WAIT),
                    false => Duration::ZERO,
                };
                let next_order = lease.next_order(self.times.call, wait, now);
                let Some((mut order, timeout)) = next_order else {
                    continue;
                };
                let previous_expiry = lease.expiry;
                let mut lease_duration = Duration::ZERO;
                let mut connection = OrderConnection::Single;
                if let Order::Grant {
                    fence,
                    lease: requested,
                    ..
                } = &mut order
                {
                    // One grant at a time limits connections to the target and bursts of work
                    // there.
                    if busy.contains(&holder) {
                        continue;
                    }
                    busy.push(holder.clone());
                    lease_duration = *requested;
                    lease.expiry = lease
                        .expiry
                        .max(now + timeout + worst_case_duration(lease_duration));
                    if is_moving || (lease.session.is_some() && lease.session != open) {
                        self.fence_counter += 1;
                        lease.fence = (self.term << FENCE_COUNTER_BITS) + self.fence_counter;
                        lease.acknowledged = false;
                        *fence = lease.fence;
                    }
                    connection = match open {
                        // Its answer is the proof that the release of a moving range needs.
                        _ if is_moving => OrderConnection::Single,
                        Some(session) => OrderConnection::Kept(session),
                        None => {
                            self.last_session += 1;
                            self.sessions.insert(holder.clone(), self.last_session);
                            OrderConnection::Open(self.last_session)
                        }
                    };
                    lease.proved = false;
                    lease.session = connection.session().or_else(|| {
                        self.last_session += 1;
                        Some(self.last_session)
                    });
                }
                self.last_order += 1;
                lease.in_flight = Some(self.last_order);
                self.in_flight.insert(
                    self.last_order,
                    InFlightOrder {
                        service: service.clone(),
                        holder: holder.clone(),
                        sent_at: now,
                        deadline: now + timeout,
                        lease_duration,
                        connection,
                        previous_expiry,
                    },
                );
                out.push(Dispatch {
                    id: self.last_order,
                    holder,
                    address: target.address,
                    order,
                    connection,
                    deadline: now + timeout,
                });
            }
        }
        out
    }

    /// Records the answer to an order. Returns `None` if the order is unknown.
    pub fn record_answer(
        &mut self,
        order_id: OrderId,
        answer: &Answer,
        now: Duration,
    ) -> Option<AnsweredOrder> {
        let order = self.in_flight.remove(&order_id)?;
        let answer = match answer {
            Answer::OtherTarget if matches!(order.connection, OrderConnection::Kept(_)) => {
                &Answer::Lost { sent: true }
            }
            answer => answer,
        };
        let mut confirmed_ranges = Vec::new();
        let new_fence = (*answer == Answer::Fenced).then(|| self.next_fence());
        let is_broken = match answer {
            Answer::OtherTarget
            | Answer::Refused(_)
            | Answer::Unproved(_)
            | Answer::Lost { .. } => true,
            // A connection that was open before stays so.
            Answer::NotSent => matches!(order.connection, OrderConnection::Open(_)),
            Answer::Granted | Answer::Fenced | Answer::Released(_) => false,
        };
        if is_broken && self.sessions.get(&order.holder).copied() == order.connection.session() {
            self.sessions.remove(&order.holder);
        }
        if *answer == Answer::OtherTarget {
            let held = self.leases.values_mut().flatten();
            for lease in held.filter(|lease| lease.range.holder.as_ref() == Some(&order.holder)) {
                lease.has_ended = true;
            }
        }
        // The order is still due: over another connection, or when the leader is certain to lead.
        let lost_connection = matches!(order.connection, OrderConnection::Kept(_))
            && *answer == Answer::Lost { sent: false };
        let unsent = lost_connection || *answer == Answer::NotSent;
        let lease_duration = self.times.call;
        let leases = self.leases.get_mut(&order.service);
        // If the range was split after the order was sent, the answer applies to all parts.
        for lease in leases.into_iter().flatten() {
            if lease.in_flight != Some(order_id) {
                continue;
            }
            lease.in_flight = None;
            if unsent {
                if !order.lease_duration.is_zero() {
                    lease.expiry = order.previous_expiry;
                }
                lease.next_renewal = now;
                continue;
            }
            if !matches!(answer, Answer::Released(_)) {
                lease.failures += 1;
            }
            match answer {
                Answer::Granted => {
                    if lease.unconfirmed {
                        lease.unconfirmed = false;
                        confirmed_ranges.push((lease.range.from, lease.range.to));
                    }
                    lease.acknowledged = true;
                    lease.proved = !matches!(order.connection, OrderConnection::Kept(_));
                    lease.range.handover = None;
                    lease.unanswered = false;
                    lease.failures = 0;
                    lease.acknowledged_at = Some(order.sent_at);
                    let is_first = !matches!(order.connection, OrderConnection::Kept(_));
                    lease.next_renewal = match lease.phase {
                        // The first lease on a connection is short.
                        _ if is_first => now,
                        Phase::Releasing { .. } => now,
                        _ => order.sent_at + lease_duration / RENEWALS_PER_LEASE,
                    };
                }
                Answer::Released(handover) => {
                    if let Phase::Releasing { next } = &lease.phase {
                        lease.phase = Phase::Released {
                            next: next.clone(),
                            handover: handover.clone(),
                        };
                    }
                }
                Answer::Fenced => {
                    lease.fence = new_fence.unwrap_or(lease.fence);
                    lease.next_renewal = now + RETRY_DELAY;
                }
                Answer::Lost { sent: true } | Answer::Unproved(_)
                    if !order.lease_duration.is_zero() =>
                {
                    lease.unanswered = true;
                    lease.unanswered_expiry = lease
                        .unanswered_expiry
                        .max(now.max(order.deadline) + worst_case_duration(order.lease_duration));
                    lease.next_renewal = now + RETRY_DELAY;
                }
                Answer::NotSent
                | Answer::OtherTarget
                | Answer::Refused(_)
                | Answer::Unproved(_)
                | Answer::Lost { .. } => {
                    if !order.lease_duration.is_zero() {
                        lease.expiry = order.previous_expiry;
                    }
                    lease.next_renewal = now + RETRY_DELAY;
                }
            }
        }
        Some(AnsweredOrder {
            service: order.service,
            holder: order.holder,
            confirmed: confirmed_ranges,
        })
    }
}
