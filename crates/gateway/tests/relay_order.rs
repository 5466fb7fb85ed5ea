//! The order in which a gateway prefers relays.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use gateway::config_overlay::host_settings::order_relays;

#[test]
fn equal_relays_share_the_gateways_and_the_order_of_others_stays() {
    let relay = |n: u8, equal| {
        let at = format!("127.0.0.{n}:7950").parse().unwrap();
        config::Upstream { name: format!("relay-{n}"), at, equal }
    };
    let relays = [relay(1, false), relay(2, true), relay(3, true), relay(4, false)];
    let mut firsts = [0; 5];
    for n in 0..300 {
        let order = order_relays(&format!("front-{n}"), &relays);
        let last = |at: usize| order[at].name.0.as_bytes()[6] - b'0';
        let mut names: Vec<u8> = (0..4).map(last).collect();
        firsts[usize::from(names[0])] += 1;
        assert_eq!(names[3], 4);
        names.sort();
        assert_eq!(names, [1, 2, 3, 4]);
    }
    assert!(firsts[1..4].iter().all(|count| *count > 60), "{firsts:?}");
}
