//! Invariants of the registry under random changes, and single changes.

use proptest::prelude::*;
use sanddyke_tenancy::{
    Change, ChangeError, Document, Generation, GroupSpec, Registry, State, Subject, TenantSpec, shares,
};

fn name(number: u8) -> String {
    format!("n{}", number % 5)
}

fn any_change() -> impl Strategy<Value = Change> {
    let spec = (1u32..100, prop::option::of(0u8..3)).prop_map(|(weight, group)| TenantSpec {
        weight: f64::from(weight),
        group: group.map(|number| format!("g{number}")),
        ..TenantSpec::default()
    });
    let group = (1u32..100).prop_map(|weight| GroupSpec { weight: weight.into(), ..GroupSpec::default() });
    let state = prop::sample::select(vec![State::Active, State::Suspended, State::Draining, State::Removed]);
    prop_oneof![
        (any::<u8>(), spec.clone()).prop_map(|(at, spec)| Change::CreateTenant { name: name(at), spec }),
        (any::<u8>(), spec).prop_map(|(at, spec)| Change::SetTenant { name: name(at), spec }),
        (any::<u8>(), state).prop_map(|(at, to)| Change::MoveTenant { name: name(at), to }),
        any::<u8>().prop_map(|at| Change::RemoveTenant { name: name(at) }),
        (0u8..3, group.clone()).prop_map(|(at, spec)| Change::CreateGroup { name: format!("g{at}"), spec }),
        (0u8..3, group).prop_map(|(at, spec)| Change::SetGroup { name: format!("g{at}"), spec }),
        (0u8..3).prop_map(|at| Change::RemoveGroup { name: format!("g{at}") }),
    ]
}

proptest! {
    /// Under random lists of changes: a list is applied completely or not at all, each change increments the generation
    /// and stores it with its subject, the shares sum to 1, and a restored registry equals the original.
    #[test]
    fn random_changes_preserve_the_invariants(lists in prop::collection::vec(
        prop::collection::vec(any_change(), 1..4), 1..40)) {
        let mut registry = Registry::default();
        for list in lists {
            let before = registry.clone();
            let planned = registry.plan(&list);
            match registry.apply(&list) {
                Err(error) => {
                    prop_assert_eq!(&registry, &before, "a list that fails changes nothing: {}", &error);
                    prop_assert_eq!(planned.unwrap_err(), error);
                }
                Ok(records) => {
                    let plan = planned.unwrap();
                    prop_assert_eq!(&plan.after, &registry);
                    prop_assert_eq!(&plan.records, &records);
                    let last = records.last().unwrap();
                    prop_assert_eq!(registry.generation().0, before.generation().0 + list.len() as u64);
                    prop_assert_eq!(last.generation, registry.generation());
                    if let Some(found) = registry.generation_of(&last.change.subject()) {
                        prop_assert_eq!(found, last.generation);
                    }
                }
            }
            let shares = shares::effective(&registry);
            let has_share = registry.tenants().any(|tenant| tenant.state != State::Suspended);
            let sum: f64 = shares.values().sum();
            prop_assert!((sum - f64::from(u8::from(has_share))).abs() < 1e-9, "{}", sum);
            let (tenants, groups) = (registry.tenants().cloned().collect(), registry.groups().cloned().collect());
            let restored = Registry::restore(registry.generation(), registry.last_id(), tenants, groups).unwrap();
            prop_assert_eq!(&restored, &registry);
        }
    }

    /// The changes of a document, applied as one list, make any registry equal to the one that the document was exported
    /// from.
    #[test]
    fn the_changes_of_a_document_make_any_registry_equal_to_it(one in prop::collection::vec(any_change(), 0..30),
                                            other in prop::collection::vec(any_change(), 0..30)) {
        let build = |changes: Vec<Change>| {
            let mut registry = Registry::default();
            changes.iter().for_each(|change| drop(registry.apply(std::slice::from_ref(change))));
            registry
        };
        let (document, mut registry) = (Document::of(&build(one)), build(other));
        let changes = document.changes(&registry, true);
        registry.apply(&changes).unwrap();
        prop_assert_eq!(&Document::of(&registry), &document);
        prop_assert!(document.changes(&registry, true).is_empty(), "no changes remain after they were applied");
    }
}

fn create(registry: &mut Registry, name: &str, weight: f64, group: Option<&str>) {
    let spec = TenantSpec { weight, group: group.map(str::to_owned), ..TenantSpec::default() };
    registry.apply(&[Change::CreateTenant { name: name.to_owned(), spec }]).unwrap();
}

#[test]
fn a_groups_share_is_split_among_its_members() {
    let mut registry = Registry::default();
    let spec = GroupSpec { weight: 3.0, ..GroupSpec::default() };
    registry.apply(&[Change::CreateGroup { name: "county".to_owned(), spec }]).unwrap();
    create(&mut registry, "a", 1.0, Some("county"));
    create(&mut registry, "b", 2.0, Some("county"));
    create(&mut registry, "alone", 1.0, None);
    let share =
        |registry: &Registry, name: &str| shares::effective(registry)[&registry.tenant(name).unwrap().id];
    assert_eq!((share(&registry, "a"), share(&registry, "b"), share(&registry, "alone")), (0.25, 0.5, 0.25));
    let plan = registry.plan(&[Change::MoveTenant { name: "b".to_owned(), to: State::Suspended }]).unwrap();
    let moved: Vec<(f64, f64)> = plan.share_changes.values().copied().collect();
    assert_eq!(
        moved,
        [(0.25, 0.75), (0.5, 0.0)],
        "the group's share goes to its other member, and other shares are unchanged"
    );
}

#[test]
fn a_tenant_created_under_a_removed_name_has_a_new_id() {
    let mut registry = Registry::default();
    create(&mut registry, "a", 1.0, None);
    let first = registry.tenant("a").unwrap().id;
    registry.apply(&[Change::RemoveTenant { name: "a".to_owned() }]).unwrap();
    create(&mut registry, "a", 1.0, None);
    assert_ne!(registry.tenant("a").unwrap().id, first);
}

#[test]
fn a_change_based_on_an_old_generation_is_stale() {
    let mut registry = Registry::default();
    create(&mut registry, "a", 1.0, None);
    let (read, subject) = (registry.tenant("a").unwrap().generation, Subject::Tenant("a".to_owned()));
    assert_eq!(registry.check_generation(&subject, Some(read)), Ok(()));
    let change = Change::MoveTenant { name: "a".to_owned(), to: State::Draining };
    registry.apply(&[change]).unwrap();
    let stale = ChangeError::Stale { expected: read, found: Generation(2) };
    assert_eq!(registry.check_generation(&subject, Some(read)), Err(stale));
}

#[test]
fn the_error_of_an_invalid_value_names_its_field() {
    let spec = |change: fn(&mut TenantSpec)| {
        let mut spec = TenantSpec::default();
        change(&mut spec);
        spec.check().unwrap_err().field
    };
    assert_eq!(spec(|spec| spec.weight = 0.0), "weight");
    assert_eq!(spec(|spec| spec.weight = f64::NAN), "weight");
    assert_eq!(spec(|spec| spec.quota_rps = -1.0), "quota_rps");
    assert_eq!(spec(|spec| spec.limits.requests_per_s = Some(0.0)), "limits.requests_per_s");
    assert_eq!(spec(|spec| spec.limits.burst = Some(5.0)), "limits.burst");
    assert_eq!(spec(|spec| spec.limits.time_budget_ms = Some(0)), "limits.time_budget_ms");
    assert_eq!(spec(|spec| spec.group = Some("no such name".to_owned())), "group");
    assert_eq!(spec(|spec| drop(spec.labels.insert("k".to_owned(), "\n".to_owned()))), "labels");
}
