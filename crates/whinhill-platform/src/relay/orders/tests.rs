use super::*;
use whinhill::interface::Settings;

#[test]
fn orders_are_written_in_the_relays_protocol() {
    let pairs = [("classes.count", "2"), ("classes.0.name", "look"), ("classes.1.name", "book")];
    let mut names =
        Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()));
    let endpoint = names.endpoint("s-1");
    let level = |methods| Order::Level { slice: 4, level: 0.9, methods, tries: 1 };
    for (order, wanted) in [
        (Order::Grant { slice: 4, endpoint }, Some("put,4,s-1,1")),
        (Order::Revoke { slice: 4, endpoint }, Some("put,4,s-1,0")),
        (level(2), Some("gate,4,book,0.900,1")),
        (level(3), Some("gate,4,look+book,0.900,1")),
        (level(0), Some("gate,4,*,0.900,1")),
        (Order::RequestAck { ack_seq: 905 }, Some("fence,905,1")),
        (Order::WatchList, None),
    ] {
        let mut out = String::new();
        let relay = RelayOrder::from_order(&order, &names);
        relay.iter().for_each(|relay| relay.write(&mut out, &names));
        assert_eq!(relay.is_some().then_some(out.as_str()), wanted);
    }
}
