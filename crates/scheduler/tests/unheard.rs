//! A host that does not hear its list takes care: a node that fails may have left, and is not asked again and again.
mod common;
use common::*;
use scheduler::interface::*;

const LONG: i64 = 60;

fn asked() -> Settings {
    Settings { list_mode: ListMode::Ask, ask_within: Micros(10 * S), ..settings() }
}

fn heard(host: &mut Host) -> Vec<Action> {
    host.tell(Event::List(ListNews::Delta(vec![])))
}

/// Sends to node `a` in the last twenty of sixty seconds in which every attempt there ends so, ten requests a second.
fn late_sends(host: &mut Host, ending: Ending, list: impl Fn(&mut Host, i64)) -> usize {
    let mut late = 0;
    for tenth in 0..LONG * 10 {
        list(host, tenth);
        let id = 1000 + tenth as u64;
        let mut actions = host.arrive(request(id));
        actions.extend(host.pass(50 * MS));
        // Whatever is sent fails at once, and so do the tries that follow from it.
        let mut open = sent(&actions);
        while let Some(id) = open.pop() {
            late += usize::from(tenth >= (LONG - 20) * 10);
            open.extend(sent(&host.end(id, ending, MS)));
        }
        let rest = sent(&host.pass(50 * MS));
        for id in rest {
            late += usize::from(tenth >= (LONG - 20) * 10);
            host.end(id, ending, MS);
        }
    }
    late
}

#[test]
fn a_failing_node_is_asked_more_and_more_rarely_while_the_list_is_not_heard() {
    for ending in [Ending::Full, Ending::ConnectFailed, Ending::Reset] {
        let mut host = Host::new(asked());
        heard(&mut host);
        let confirmed = late_sends(&mut host, ending, |host, tenth| {
            if tenth % 20 == 0 {
                heard(host);
            }
        });
        let mut host = Host::new(asked());
        heard(&mut host);
        host.tell(Event::List(ListNews::Failed));
        let unheard = late_sends(&mut host, ending, |_, _| {});
        println!("{ending:?}: {confirmed} sends in 20 s where the list is heard, {unheard} where it is not");
        assert!(confirmed >= 8, "{ending:?}: a listed node may be back in the next instant: {confirmed}");
        assert!(unheard <= 1, "{ending:?}: {unheard}");
    }
}

#[test]
fn what_is_heard_again_is_tried_again_at_once() {
    let mut host = Host::new(asked());
    heard(&mut host);
    host.tell(Event::List(ListNews::Failed));
    late_sends(&mut host, Ending::ConnectFailed, |_, _| {});
    let mut actions = host.arrive(Request { grace: Micros(10 * S), ..request(1) });
    actions.extend(host.pass(300 * MS));
    assert!(sent(&actions).is_empty(), "kept away from");
    let mut actions = heard(&mut host);
    actions.extend(host.arrive(request(2)));
    actions.extend(host.pass(MS));
    assert!(!sent(&actions).is_empty(), "the list has it");
}

#[test]
fn a_node_that_answers_is_sent_to_whether_the_list_is_heard_or_not() {
    let mut host = Host::new(asked());
    heard(&mut host);
    host.tell(Event::List(ListNews::Failed));
    let served = late_sends(&mut host, Ending::Ok, |_, _| {});
    assert!(served >= 190, "healthy work is not refused: {served} of 200");
}

#[test]
fn no_time_allowed_without_asking_is_no_endless_loop() {
    let mut host = Host::new(Settings { ask_within: Micros(0), ..asked() });
    host.tell(Event::List(ListNews::Failed));
    let watches = host.pass(10 * S).iter().filter(|a| matches!(a, Action::Watch)).count();
    assert!((2..=20).contains(&watches), "{watches}");
}
