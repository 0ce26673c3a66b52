use super::*;

#[test]
fn a_rule_is_parsed_into_its_call_effect_share_and_time_range() {
    let rules =
        parse("recv=short:0.5; connect=ENOBUFS:0.3@0..2000;clock=-3600000@500..; wait=EINTR").unwrap();
    let rule = |call, effect, share, during| Rule { call, effect, share, during };
    assert_eq!(
        rules,
        [
            rule(Call::Recv, Effect::Short, 0.5, 0..u64::MAX),
            rule(Call::Connect, Effect::Fails(libc::ENOBUFS), 0.3, 0..2_000),
            rule(Call::Clock, Effect::Step(-3_600_000), 1.0, 500..u64::MAX),
            rule(Call::Wait, Effect::Fails(libc::EINTR), 1.0, 0..u64::MAX),
        ]
    );
}

#[test]
fn errors_in_all_rules_are_reported_at_once() {
    let errors = parse("recv; open=EIO; connect=short; send=short:1.5; accept=EMFILE@5").unwrap_err();
    let found: Vec<_> = errors.iter().map(|error| error.found.as_str()).collect();
    assert_eq!(found, ["recv", "open", "short", "1.5", "5"]);
}
