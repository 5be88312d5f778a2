//! Unit tests of the collections.

use super::slot_table::AssignedSlot;
use super::{
    ByClass, ByQuota, KeyedQueues, Quota, RingSubset, Slices, SlotTable, Suspensions, TenantQuotas,
    levels_with_shares, nearest_level, random_pair, ring_window,
};

#[test]
fn by_quota_keeps_one_value_per_quota_state() {
    let mut counts = ByQuota { within: 1, over: 10 };
    counts[Quota::Over] += 5;
    assert_eq!((counts[Quota::Within], counts[Quota::Over]), (1, 15));
    assert_eq!(counts.map(|count| count * 2), ByQuota { within: 2, over: 30 });
    assert_eq!(counts.map(f64::from).total(), 16.0);
}

#[test]
fn items_of_a_key_are_dispatched_one_at_a_time_in_order() {
    let mut queues = KeyedQueues::default();
    assert!(!queues.push(7, 'a'), "the first is dispatched at once");
    assert!(queues.push(7, 'b'));
    assert!(queues.push(7, 'c'));
    assert!(!queues.push(8, 'd'), "another key is not affected");
    assert_eq!(queues.dispatch(7, 1.0), None);
    queues.remove(7, 'a');
    assert_eq!(queues.waiting().collect::<Vec<_>>(), ['b', 'c']);
    assert_eq!(queues.dispatch(7, 1.0), Some('b'));
    assert_eq!(queues.dispatch(7, 1.0), None);
    assert_eq!(queues.waiting().collect::<Vec<_>>(), ['c']);
}

#[test]
fn queued_item_can_be_removed_and_empty_queue_dropped() {
    let mut queues = KeyedQueues::default();
    queues.push(7, 'a');
    queues.push(7, 'b');
    queues.remove(7, 'b');
    assert_eq!(queues.dispatch(7, 1.0), None, "the head is still dispatched");
    queues.remove(7, 'a');
    assert_eq!(queues.dispatch(7, 1.0), None);
    assert!(queues.keys().is_empty());
}

#[test]
fn a_quarantined_key_waits_until_its_time_has_passed() {
    let mut queues = KeyedQueues::default();
    queues.push(7, 'a');
    queues.push(7, 'b');
    queues.quarantine(7, 50.0);
    queues.remove(7, 'a');
    assert_eq!(queues.dispatch(7, 50.0), None);
    assert_eq!(queues.dispatch(7, 50.1), Some('b'));
}

#[test]
fn changed_value_gets_a_slot_that_is_not_in_use() {
    let mut table = SlotTable::default();
    let first = table.replace(&["a", "b"], &[None, None]);
    assert_eq!(first.iter().map(|assigned| assigned.slot).collect::<Vec<_>>(), [0, 1]);
    table.acquire(0);
    // A value that changes while in use gets another slot, with a reference to the old one.
    let second = table.replace(&["c", "b"], &[Some(0), Some(1)]);
    assert_eq!(second, [AssignedSlot { slot: 2, continues: Some(0) }]);
    assert_eq!((table.slot_at(0), table.slot_at(1), table.slot_at(2)), (Some(2), Some(1), None));
    assert_eq!((table[0], table.truncate()), ("a", 3));
    // Once the old slot is unused it is assigned again, and slots behind the last one in use are removed.
    table.release(0);
    assert_eq!(
        table.replace(&["d", "b"], &[Some(0), Some(1)]),
        [AssignedSlot { slot: 0, continues: Some(2) }]
    );
    assert_eq!((table.truncate(), table.len()), (2, 2));
    assert_eq!(table.values().copied().collect::<Vec<_>>(), ["d", "b"]);
}

#[test]
fn replaced_slices_keep_total_and_return_queued_items() {
    let mut slices = Slices::default();
    assert_eq!(slices.replace([0.75, 0.25].into_iter()), Vec::<char>::new());
    slices.begin(0);
    slices.begin(1);
    slices.end(0);
    slices.queue_mut(0).push_back('a');
    slices.queue_mut(1).push_back('b');
    assert_eq!((slices.in_flight(), slices.in_flight_by_slice(), slices.queued()), (1.0, 1.0, 2));
    assert_eq!(slices.replace([1.0].into_iter()), ['a', 'b']);
    assert_eq!((slices.in_flight(), slices.in_flight_by_slice(), slices.queued()), (1.0, 0.0, 0));
    slices.carry_over(0, 1.0);
    assert_eq!((slices.len(), slices.slice(0).share, slices.slice(0).in_flight), (1, 1.0, 1.0));
}

#[test]
fn a_ring_window_goes_around_once_until_enough_items_count() {
    let ring = [0, 1, 2, 3];
    let window = |instance_index, wanted| ring_window(&ring, instance_index, 4, wanted, |_| true);
    assert_eq!([0, 1, 3].map(|instance_index| window(instance_index, 1.0)), [[0], [1], [3]]);
    assert_eq!(window(3, 2.0), [3, 0]);
    assert_eq!(window(1, 9.0), [1, 2, 3, 0]);
    assert_eq!(ring_window(&ring, 3, 4, 2.0, |item| item != 0), [3, 0, 1]);
    assert_eq!(ring_window(&ring, 1, 3, 1.0, |_| true), [1], "a third of 4 is rounded down");
    assert_eq!(ring_window(&[0; 0], 0, 1, 1.0, |_| true), [0; 0]);
}

#[test]
fn a_subset_keeps_local_members_first() {
    let mut subset = RingSubset::default();
    subset.set_ring(vec![1, 2, 3, 4, 5]);
    subset.set_members(vec![1, 2], vec![4]);
    subset.add_member(3, true);
    subset.add_member(5, false);
    subset.add_member(1, false);
    subset.add_member(9, true);
    assert_eq!((subset.local(), subset.remote()), (&[1, 2, 3][..], &[5, 4][..]));
    assert_eq!((subset.members(), subset.ring()), (&[1, 2, 3, 5, 4][..], &[1, 2, 3, 4, 5][..]));
}

#[test]
fn levels_are_distinct_and_sharing_ones_split_the_whole() {
    let levels = levels_with_shares(&[1.0, 3.0], &[2.0 - 1e-12, 2.0, 3.0], 1e-9);
    let shares: Vec<f64> = levels.iter().map(|level| level.share).collect();
    assert_eq!(shares, [0.75, 0.0, 0.25]);
    assert_eq!([3.1, 2.4, 2.5, 0.0].map(|value| nearest_level(&levels, value)), [0, 1, 0, 2]);
    assert_eq!(nearest_level(&[], 1.0), 0);
}

#[test]
fn resumed_id_expires_and_keeps_its_membership() {
    let mut suspensions = Suspensions::default();
    suspensions.suspend('a', true);
    suspensions.suspend('b', false);
    assert!(suspensions.is_suspended('a') && !suspensions.is_suspended('c'));
    for id in ['a', 'b', 'c'] {
        suspensions.resume(id, 10.0);
    }
    assert!(!suspensions.is_suspended('a'));
    assert_eq!((suspensions.resumed_at_ms('a'), suspensions.resumed_at_ms('d')), (10.0, 0.0));
    assert_eq!(suspensions.resumed_members().collect::<Vec<_>>(), ['a']);
    suspensions.prune_resumed(14.0, 5.0);
    assert_eq!(suspensions.resumed_at_ms('a'), 10.0);
    suspensions.prune_resumed(15.0, 5.0);
    assert_eq!(suspensions.resumed_at_ms('a'), 0.0);
}

#[test]
fn continuing_tenant_keeps_its_charge() {
    let mut quotas = TenantQuotas::default();
    quotas.replace(&[None, None]);
    let charge = |quotas: &mut TenantQuotas, tenant| quotas.charge(tenant, 0.0, 0.0, 1.0);
    assert_eq!(
        [0, 0, 1, 7].map(|tenant| charge(&mut quotas, tenant)),
        [Quota::Within, Quota::Over, Quota::Within, Quota::Within]
    );
    quotas.refund(0);
    quotas.replace(&[None, Some(1), Some(0)]);
    assert_eq!(
        [0, 1, 2].map(|tenant| charge(&mut quotas, tenant)),
        [Quota::Within, Quota::Over, Quota::Within]
    );
}

#[test]
fn a_random_pair_is_of_two_different_eligible_items() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..100 {
        let (first, second) = random_pair(&mut rng, &[1, 2, 3, 4], 30, |item| item != 3).expect("found");
        let second = second.expect("found");
        assert!(first != second && first != 3 && second != 3);
    }
    assert_eq!(random_pair(&mut rng, &[1], 12, |_| true), Some((1, None)));
    assert_eq!(random_pair(&mut rng, &[1, 2], 12, |_| false), None);
    assert_eq!(random_pair(&mut rng, &[0; 0], 12, |_| true), None);
}

#[test]
fn by_class_keeps_an_overall_value_and_one_per_class() {
    let mut values = ByClass::new(1, 2);
    values[None] = 5;
    values[Some(1)] = 7;
    values.set(2, 9);
    assert_eq!([None, Some(0), Some(1), Some(2)].map(|class| values[class]), [5, 1, 7, 9]);
    values.truncate(1);
    values.set(1, 8);
    assert_eq!([None, Some(0), Some(1)].map(|class| values[class]), [5, 1, 8]);
}
