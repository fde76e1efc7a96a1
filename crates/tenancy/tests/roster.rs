//! Limits, retry advice and slots of the roster.

use proptest::prelude::*;
use sanddyke_tenancy::{
    AdmissionRequest, Generation, Limits, Reason, Rejection, Roster, SlotUsage, State, Tenant, TenantId,
    TenantSpec,
};
use std::collections::BTreeMap;

const REQUEST: AdmissionRequest = AdmissionRequest { class: "lookup", statement_bytes: 10 };

fn tenant(id: u64, limits: Limits) -> Tenant {
    let spec = TenantSpec { limits, ..TenantSpec::default() };
    Tenant { id: TenantId(id), name: format!("t{id}"), spec, state: State::Active, generation: Generation(1) }
}

fn roster_with(limits: Limits) -> Roster {
    let mut roster = Roster::default();
    roster.set(&tenant(1, limits));
    roster
}

fn rejection(roster: &mut Roster, now: i64, request: &AdmissionRequest) -> Rejection {
    roster.admit(now, "t1", request).expect_err("the request is rejected")
}

proptest! {
    /// With random arrivals, no interval has more admitted requests than the burst and the rate allow, and each rejection
    /// has retry advice of at least the lower bound.
    #[test]
    fn the_rate_limit_holds_in_every_interval(rate in 1u32..50, burst in 1u32..20,
                                     gaps in prop::collection::vec(0i64..200_000, 1..300)) {
        let limits = Limits {
            requests_per_s: Some(rate.into()), burst: Some(burst.into()), ..Limits::default()
        };
        let mut roster = roster_with(limits);
        let (mut now, mut admitted) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            match roster.admit(now, "t1", &REQUEST) {
                Ok(_) => admitted.push(now),
                Err(rejection) => {
                    prop_assert_eq!(rejection.reason, Reason::Rate);
                    prop_assert!(rejection.retry_after_us >= 50_000);
                }
            }
        }
        for (at, from) in admitted.iter().enumerate() {
            for (to, until) in admitted.iter().enumerate().skip(at) {
                let most = f64::from(burst) + f64::from(rate) * (until - from) as f64 / 1e6;
                prop_assert!((to - at + 1) as f64 <= most + 1e-6);
            }
        }
    }

    /// Compares the roster with a model under random operations: a slot belongs to one tenant while anything refers to
    /// it, and is freed when the last reference to a removed tenant ends.
    #[test]
    fn a_slot_is_reused_only_when_nothing_refers_to_it(ops in prop::collection::vec((0u8..6, 0u64..8), 1..200)) {
        let mut roster = Roster::default();
        let mut slots: BTreeMap<usize, (u64, u32, u32, bool)> = BTreeMap::new();
        for (op, id) in ops {
            let slot = slots.iter().find(|(_, (held, ..))| *held == id).map(|(slot, _)| *slot);
            let (open, attempts, removed) = slot.map_or((0, 0, false), |slot| {
                let (_, open, attempts, removed) = slots[&slot];
                (open, attempts, removed)
            });
            let last = removed && open + attempts == 1;
            let freed = match (op, slot) {
                // Ids are never reused, so that a removed tenant is not set again.
                (0, known) if !removed => {
                    let slot = roster.set(&tenant(id, Limits::default()));
                    match known {
                        Some(before) => prop_assert_eq!(slot, before),
                        None => prop_assert!(slots.insert(slot, (id, 0, 0, false)).is_none()),
                    }
                    None
                }
                (1, _) => {
                    if let Ok(slot) = roster.admit(0, &format!("t{id}"), &REQUEST) {
                        slots.entry(slot).and_modify(|state| state.1 += 1);
                    }
                    None
                }
                (2, Some(slot)) if open > 0 => {
                    slots.entry(slot).and_modify(|state| state.1 -= 1);
                    prop_assert_eq!(roster.request_closed(slot, 5), last.then_some(slot));
                    last.then_some(slot)
                }
                (3, Some(slot)) if open > 0 => {
                    slots.entry(slot).and_modify(|state| state.2 += 1);
                    roster.attempt_started(slot);
                    None
                }
                (4, Some(slot)) if attempts > 0 => {
                    slots.entry(slot).and_modify(|state| state.2 -= 1);
                    prop_assert_eq!(roster.attempt_ended(slot), last.then_some(slot));
                    last.then_some(slot)
                }
                (5, Some(slot)) if !removed => {
                    slots.entry(slot).and_modify(|state| state.3 = true);
                    let is_unused = open + attempts == 0;
                    prop_assert_eq!(roster.remove(TenantId(id)), is_unused.then_some(slot));
                    is_unused.then_some(slot)
                }
                _ => None,
            };
            if let Some(slot) = freed {
                slots.remove(&slot);
            }
            prop_assert_eq!(roster.len(), slots.len());
            for (slot, (id, open, attempts, _)) in &slots {
                prop_assert_eq!(roster.tenant(*slot).unwrap().id, TenantId(*id));
                prop_assert_eq!(roster.usage(*slot), SlotUsage { open_requests: *open, attempts: *attempts });
            }
        }
    }
}

/// Guards against rejected clients that all retry for the same token: each has different retry advice and is admitted at
/// that time.
#[test]
fn a_client_that_follows_its_retry_advice_is_admitted() {
    let mut roster =
        roster_with(Limits { requests_per_s: Some(10.0), burst: Some(1.0), ..Limits::default() });
    roster.admit(0, "t1", &REQUEST).unwrap();
    let retry_times_us: Vec<i64> =
        (0..20).map(|_| rejection(&mut roster, 0, &REQUEST).retry_after_us).collect();
    assert!(retry_times_us.windows(2).all(|two| two[0] < two[1]), "{retry_times_us:?}");
    assert!(retry_times_us.iter().all(|at| roster.admit(*at, "t1", &REQUEST).is_ok()), "{retry_times_us:?}");
}

#[test]
fn each_limit_rejects_with_its_own_code_and_counter() {
    let classes = Some(["lookup".to_owned()].into());
    let limits = Limits {
        open_requests: Some(1),
        statement_bytes: Some(10),
        result_bytes: Some(5),
        classes,
        ..Limits::default()
    };
    let mut roster = roster_with(limits);
    let reason = |roster: &mut Roster, request: &AdmissionRequest| rejection(roster, 0, request).reason;
    assert_eq!(reason(&mut roster, &AdmissionRequest { class: "load", ..REQUEST }), Reason::Class);
    assert_eq!(
        reason(&mut roster, &AdmissionRequest { statement_bytes: 11, ..REQUEST }),
        Reason::StatementBytes
    );
    let slot = roster.admit(0, "t1", &REQUEST).unwrap();
    let at_limit = rejection(&mut roster, 0, &REQUEST);
    assert!(at_limit.reason == Reason::Open && at_limit.retry_after_us > 0, "{at_limit:?}");
    assert!(roster.check_result(slot, 5).is_ok());
    assert_eq!(roster.check_result(slot, 6).unwrap_err().reason, Reason::ResultBytes);
    roster.request_closed(slot, 9);
    for (state, expected) in [(State::Suspended, Reason::Suspended), (State::Draining, Reason::Draining)] {
        roster.set(&Tenant { state, ..tenant(1, Limits::default()) });
        assert_eq!(reason(&mut roster, &REQUEST), expected);
    }
    let counts: Vec<(&str, u64)> =
        roster.rejections(slot).map(|(reason, count)| (reason.code(), count)).collect();
    let codes = ["suspended", "draining", "class", "statement_bytes", "result_bytes", "open"];
    assert_eq!(
        counts,
        codes.map(|code| (
            Reason::ALL.map(Reason::code).into_iter().find(|all| *all == format!("tenant_{code}")).unwrap(),
            1
        ))
    );
}

#[test]
fn open_requests_of_a_removed_tenant_continue_and_its_name_can_be_reused() {
    let mut roster = roster_with(Limits::default());
    let old = roster.admit(0, "t1", &REQUEST).unwrap();
    assert_eq!(roster.remove(TenantId(1)), None);
    assert_eq!(
        rejection(&mut roster, 0, &REQUEST).reason,
        Reason::Removed,
        "the tenant still has an open request"
    );
    let again = roster.set(&Tenant { name: "t1".to_owned(), ..tenant(2, Limits::default()) });
    assert_ne!(again, old, "the slot of the removed tenant is still in use");
    assert_eq!(roster.admit(0, "t1", &REQUEST), Ok(again));
    assert_eq!(roster.request_closed(old, 1), Some(old));
    assert_eq!(roster.remove(TenantId(2)), None);
    assert_eq!(roster.request_closed(again, 1), Some(again));
    assert_eq!(
        rejection(&mut roster, 0, &REQUEST).reason,
        Reason::Unknown,
        "nothing refers to a tenant of this name"
    );
}
