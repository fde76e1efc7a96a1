//! Limits, advice and slots.

use proptest::prelude::*;
use sanddyke_tenancy::{
    AdmissionRequest, Generation, Limits, Reason, Rejection, Roster, SlotUsage, State, Tenant, TenantId,
    TenantSpec,
};
use std::collections::BTreeMap;

const ASK: AdmissionRequest = AdmissionRequest { class: "lookup", statement_bytes: 10 };

fn tenant(id: u64, limits: Limits) -> Tenant {
    let spec = TenantSpec { limits, ..TenantSpec::default() };
    Tenant { id: TenantId(id), name: format!("t{id}"), spec, state: State::Active, generation: Generation(1) }
}

fn one(limits: Limits) -> Roster {
    let mut roster = Roster::default();
    roster.set(&tenant(1, limits));
    roster
}

fn refusal(roster: &mut Roster, now: i64, ask: &AdmissionRequest) -> Rejection {
    roster.admit(now, "t1", ask).expect_err("it is refused")
}

proptest! {
    /// In no stretch of time are more requests taken than the burst and the rate allow, whatever the arrivals;
    /// and who comes back when told is taken.
    #[test]
    fn a_rate_binds_in_every_stretch(rate in 1u32..50, burst in 1u32..20,
                                     gaps in prop::collection::vec(0i64..200_000, 1..300)) {
        let limits = Limits {
            requests_per_s: Some(rate.into()), burst: Some(burst.into()), ..Limits::default()
        };
        let mut roster = one(limits);
        let (mut now, mut taken) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            match roster.admit(now, "t1", &ASK) {
                Ok(_) => taken.push(now),
                Err(refused) => {
                    prop_assert_eq!(refused.reason, Reason::Rate);
                    prop_assert!(refused.retry_after_us >= 50_000);
                }
            }
        }
        for (at, from) in taken.iter().enumerate() {
            for (to, until) in taken.iter().enumerate().skip(at) {
                let most = f64::from(burst) + f64::from(rate) * (until - from) as f64 / 1e6;
                prop_assert!((to - at + 1) as f64 <= most + 1e-6);
            }
        }
    }

    /// Against a model: a slot is one tenant's until nothing refers to it, and then it is free.
    #[test]
    fn a_slot_is_nobody_elses_while_anything_refers_to_it(ops in prop::collection::vec((0u8..6, 0u64..8), 1..200)) {
        let mut roster = Roster::default();
        let mut slots: BTreeMap<usize, (u64, u32, u32, bool)> = BTreeMap::new();
        for (op, id) in ops {
            let slot = slots.iter().find(|(_, (held, ..))| *held == id).map(|(slot, _)| *slot);
            let (open, out, removed) = slot.map_or((0, 0, false), |slot| {
                let (_, open, out, removed) = slots[&slot];
                (open, out, removed)
            });
            let last = removed && open + out == 1;
            let freed = match (op, slot) {
                // Ids are never given again: a removed tenant is not set.
                (0, known) if !removed => {
                    let slot = roster.set(&tenant(id, Limits::default()));
                    match known {
                        Some(before) => prop_assert_eq!(slot, before),
                        None => prop_assert!(slots.insert(slot, (id, 0, 0, false)).is_none()),
                    }
                    None
                }
                (1, _) => {
                    if let Ok(slot) = roster.admit(0, &format!("t{id}"), &ASK) {
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
                (4, Some(slot)) if out > 0 => {
                    slots.entry(slot).and_modify(|state| state.2 -= 1);
                    prop_assert_eq!(roster.attempt_ended(slot), last.then_some(slot));
                    last.then_some(slot)
                }
                (5, Some(slot)) if !removed => {
                    slots.entry(slot).and_modify(|state| state.3 = true);
                    let over = open + out == 0;
                    prop_assert_eq!(roster.remove(TenantId(id)), over.then_some(slot));
                    over.then_some(slot)
                }
                _ => None,
            };
            if let Some(slot) = freed {
                slots.remove(&slot);
            }
            prop_assert_eq!(roster.len(), slots.len());
            for (slot, (id, open, out, _)) in &slots {
                prop_assert_eq!(roster.tenant(*slot).unwrap().id, TenantId(*id));
                prop_assert_eq!(roster.usage(*slot), SlotUsage { open_requests: *open, attempts: *out });
            }
        }
    }
}

/// Those who are told to come back are told different times, and each finds its token then.
#[test]
fn who_comes_back_when_told_is_taken() {
    let mut roster = one(Limits { requests_per_s: Some(10.0), burst: Some(1.0), ..Limits::default() });
    roster.admit(0, "t1", &ASK).unwrap();
    let told: Vec<i64> = (0..20).map(|_| refusal(&mut roster, 0, &ASK).retry_after_us).collect();
    assert!(told.windows(2).all(|two| two[0] < two[1]), "{told:?}");
    assert!(told.iter().all(|at| roster.admit(*at, "t1", &ASK).is_ok()), "{told:?}");
}

#[test]
fn each_limit_refuses_with_its_own_code_and_count() {
    let classes = Some(["lookup".to_owned()].into());
    let limits = Limits {
        open_requests: Some(1),
        statement_bytes: Some(10),
        result_bytes: Some(5),
        classes,
        ..Limits::default()
    };
    let mut roster = one(limits);
    let reason = |roster: &mut Roster, ask: &AdmissionRequest| refusal(roster, 0, ask).reason;
    assert_eq!(reason(&mut roster, &AdmissionRequest { class: "load", ..ASK }), Reason::Class);
    assert_eq!(reason(&mut roster, &AdmissionRequest { statement_bytes: 11, ..ASK }), Reason::StatementBytes);
    let slot = roster.admit(0, "t1", &ASK).unwrap();
    let full = refusal(&mut roster, 0, &ASK);
    assert!(full.reason == Reason::Open && full.retry_after_us > 0, "{full:?}");
    assert!(roster.check_result(slot, 5).is_ok());
    assert_eq!(roster.check_result(slot, 6).unwrap_err().reason, Reason::ResultBytes);
    roster.request_closed(slot, 9);
    for (state, expected) in [(State::Suspended, Reason::Suspended), (State::Draining, Reason::Draining)] {
        roster.set(&Tenant { state, ..tenant(1, Limits::default()) });
        assert_eq!(reason(&mut roster, &ASK), expected);
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
fn a_removed_tenants_work_goes_on_and_its_name_is_free() {
    let mut roster = one(Limits::default());
    let old = roster.admit(0, "t1", &ASK).unwrap();
    assert_eq!(roster.remove(TenantId(1)), None);
    assert_eq!(refusal(&mut roster, 0, &ASK).reason, Reason::Removed, "while its last work is ending");
    let again = roster.set(&Tenant { name: "t1".to_owned(), ..tenant(2, Limits::default()) });
    assert_ne!(again, old, "what refers to the old one is not the new one's");
    assert_eq!(roster.admit(0, "t1", &ASK), Ok(again));
    assert_eq!(roster.request_closed(old, 1), Some(old));
    assert_eq!(roster.remove(TenantId(2)), None);
    assert_eq!(roster.request_closed(again, 1), Some(again));
    assert_eq!(refusal(&mut roster, 0, &ASK).reason, Reason::Unknown, "and unknown from then on");
}
