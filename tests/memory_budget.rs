//! The memory budget: the plan that the limits lead to, and the accounts of its users.

use cedarbridge::memory::plan::CONNECTION_BYTES;
use cedarbridge::memory::{MemoryBudget, MemoryLimits, MemoryPermit, MemoryPlan, MemoryUser};
use proptest::prelude::*;
use std::rc::Rc;

const MEGABYTE: usize = 1_000_000;

fn limits(memory_mb: usize, descriptors: usize, hands_over: bool) -> MemoryLimits {
    MemoryLimits { memory_bytes: memory_mb * MEGABYTE, descriptors, disk_bytes: 3_000_000, hands_over }
}

/// What all users of a plan may hold together, besides the processes themselves.
fn planned_bytes(plan: &MemoryPlan) -> usize {
    let shares: usize = MemoryUser::ALL.into_iter().map(|user| plan.share_bytes(user)).sum();
    shares + plan.client_connections * CONNECTION_BYTES + plan.file_bytes as usize
}

#[test]
fn the_shares_fit_beside_the_processes_under_all_limits_of_the_pages() {
    for memory_mb in 32..=192 {
        for descriptors in [256, 512, 768, 1_024] {
            for hands_over in [false, true] {
                let limits = limits(memory_mb, descriptors, hands_over);
                let plan = MemoryPlan::derive(&limits).expect("enough memory");
                let processes = if hands_over { 2 } else { 1 };
                assert!(planned_bytes(&plan) + processes * 8 * MEGABYTE <= limits.memory_bytes, "{limits:?}");
                assert!(plan.client_connections >= 128.min(descriptors / 2), "{limits:?}: {plan:?}");
                let large_requests = plan.share_bytes(MemoryUser::Requests) / (64 * 1024);
                assert!(large_requests >= 8, "{limits:?}: room for {large_requests} large requests");
            }
        }
    }
}

#[test]
fn a_memory_limit_that_is_too_small_is_an_error_that_names_the_least_value() {
    for hands_over in [false, true] {
        let error = MemoryPlan::derive(&limits(7, 256, hands_over)).expect_err("too little memory");
        let least = limits(error.least_mb, 256, hands_over);
        assert!(MemoryPlan::derive(&least).is_ok(), "{error}");
        assert!(MemoryPlan::derive(&limits(error.least_mb - 1, 256, hands_over)).is_err(), "{error}");
        let text = error.to_string();
        assert!(text.contains("limits.memory_mb") && text.contains(&error.least_mb.to_string()), "{text}");
    }
}

/// One use of a budget. Permits are chosen by number, modulo how many there are.
#[derive(Clone, Debug)]
enum Operation {
    Reserve(MemoryUser, usize),
    Grow(usize, usize),
    Shrink(usize, usize),
    Transfer(usize, MemoryUser),
    Split(usize, usize),
    Drop(usize),
    SetShare(MemoryUser, usize),
}

fn any_user() -> impl Strategy<Value = MemoryUser> {
    (0..MemoryUser::ALL.len()).prop_map(|index| MemoryUser::ALL[index])
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let (permit, bytes) = (0..64_usize, 0..3_000_usize);
    prop_oneof![
        (any_user(), bytes.clone()).prop_map(|(user, bytes)| Operation::Reserve(user, bytes)),
        (permit.clone(), bytes.clone()).prop_map(|(permit, bytes)| Operation::Grow(permit, bytes)),
        (permit.clone(), bytes.clone()).prop_map(|(permit, bytes)| Operation::Shrink(permit, bytes)),
        (permit.clone(), any_user()).prop_map(|(permit, user)| Operation::Transfer(permit, user)),
        (permit.clone(), bytes.clone()).prop_map(|(permit, bytes)| Operation::Split(permit, bytes)),
        permit.prop_map(Operation::Drop),
        (any_user(), bytes).prop_map(|(user, bytes)| Operation::SetShare(user, bytes)),
    ]
}

fn perform(budget: &Rc<MemoryBudget>, permits: &mut Vec<MemoryPermit>, operation: Operation) {
    let count = permits.len().max(1);
    // A reservation that is refused must leave everything as it was, which the checks after each operation show.
    match operation {
        Operation::Reserve(user, bytes) => permits.extend(budget.reserve(user, bytes)),
        Operation::SetShare(user, bytes) => budget.set_share(user, bytes),
        _ if permits.is_empty() => {}
        Operation::Grow(permit, bytes) => drop(permits[permit % count].grow(bytes)),
        Operation::Shrink(permit, bytes) => permits[permit % count].shrink_to(bytes),
        Operation::Transfer(permit, user) => drop(permits[permit % count].transfer(user)),
        Operation::Split(permit, bytes) => {
            let split = permits[permit % count].split(bytes);
            permits.push(split);
        }
        Operation::Drop(permit) => drop(permits.swap_remove(permit % count)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_order_of_reservations_and_returns_exceeds_a_share_or_leaks_a_byte(
        operations in prop::collection::vec(any_operation(), 1..120),
    ) {
        let plan = MemoryPlan::derive(&limits(32, 256, true)).expect("enough memory");
        let budget = MemoryBudget::new(&plan);
        MemoryUser::ALL.into_iter().for_each(|user| budget.set_share(user, 8_000));
        let mut permits = Vec::new();
        for operation in operations {
            let used_before: Vec<usize> = MemoryUser::ALL.map(|user| budget.used_bytes(user)).to_vec();
            perform(&budget, &mut permits, operation);
            for (user, used_before) in MemoryUser::ALL.into_iter().zip(used_before) {
                let held: usize =
                    permits.iter().filter(|permit| permit.user() == user).map(MemoryPermit::bytes).sum();
                prop_assert_eq!(budget.used_bytes(user), held);
                // A share may become smaller than what is held, but nothing is added then.
                prop_assert!(held <= budget.share_bytes(user) || held <= used_before);
            }
        }
        drop(permits);
        prop_assert_eq!(budget.total_used_bytes(), 0);
    }
}
