//! Which teams use the same cached parts, as configurations isolate some of them.

use bilberryford_gateway::{CacheScope, IsolatedTeams};
use bilberryford_types::TeamName;
use rstest::rstest;

/// Some names are others joined.
const TEAMS: [&str; 5] = ["ab", "a", "b", "abb", "0"];

/// A team's view of the caches under one configuration.
struct TeamUnderConfig {
    team: usize,
    isolated: usize,
    sharing: String,
}

fn name(text: &str) -> TeamName {
    text.parse().expect("a name")
}

/// Every team under every set of isolated teams; the bits of a set stand for the teams.
fn all_teams_under_all_configs() -> Vec<TeamUnderConfig> {
    let mut all = Vec::new();
    for isolated in 0..1_usize << TEAMS.len() {
        let names = TEAMS.iter().enumerate().filter(|(bit, _)| isolated >> bit & 1 == 1);
        let teams: IsolatedTeams = names.map(|(_, text)| name(text)).collect();
        all.extend(TEAMS.iter().enumerate().map(|(team, text)| TeamUnderConfig {
            team,
            isolated,
            sharing: teams.sharing(Some(&name(text))).to_string(),
        }));
    }
    all
}

/// Guards against parts that a team finds though their maker, or it, is isolated when they are made or used: instances may have
/// any two configurations at that moment, or earlier ones again.
#[test]
fn no_part_passes_between_teams_of_which_one_is_isolated() {
    let all = all_teams_under_all_configs();
    for maker in &all {
        for user in all.iter().filter(|user| user.sharing == maker.sharing) {
            let isolated = maker.isolated | user.isolated;
            let is_either_isolated =
                isolated >> maker.team & 1 == 1 || isolated >> user.team & 1 == 1;
            assert!(
                maker.team == user.team || !is_either_isolated,
                "{} under {:b} finds parts of {} under {:b}",
                TEAMS[user.team],
                user.isolated,
                TEAMS[maker.team],
                maker.isolated
            );
        }
    }
}

/// Guards against caches that go cold though the set of isolated teams is the same.
#[test]
fn the_other_teams_share_parts_while_the_set_is_the_same() {
    let teams: IsolatedTeams = ["a", "b"].map(name).into_iter().collect();
    let in_another_order: IsolatedTeams = ["b", "a", "b"].map(name).into_iter().collect();
    let shared = teams.sharing(Some(&name("ab")));
    assert_eq!(shared, teams.sharing(Some(&name("0"))));
    assert_eq!(shared, teams.sharing(None), "a request without a team");
    assert_eq!(shared, in_another_order.sharing(None));
}

/// Guards against other scopes without isolated teams, and for an isolated one, than those of earlier gateways, whose parts are
/// used on after a roll-out; and against another digest, which all instances must compute alike.
#[rstest]
#[case::none_is_isolated(&[], "red", "m/3/")]
#[case::an_isolated_team(&["blue"], "blue", "m/3/blue")]
#[case::the_others(&["blue"], "red", "m/3/~e5a02fb5aa7ab419")]
fn scopes_have_fixed_texts(#[case] isolated: &[&str], #[case] team: &str, #[case] expected: &str) {
    let teams: IsolatedTeams = isolated.iter().copied().map(name).collect();
    let scope = CacheScope {
        model: "m".parse().expect("a name"),
        weight_version: 3,
        sharing: teams.sharing(Some(&name(team))),
        regions: None,
    };
    assert_eq!(scope.to_string(), expected);
    assert_eq!(expected.parse(), Ok(scope));
}

/// Guards against a text that instances take for the scope of other teams than its writer.
#[rstest]
#[case::no_digest("m/3/~")]
#[case::a_short_digest("m/3/~12ab")]
#[case::a_sign("m/3/~+123456789abcdef")]
#[case::capital_letters("m/3/~0123456789ABCDEF")]
#[case::a_long_digest("m/3/~00123456789abcdef")]
fn texts_that_are_no_digests_are_rejected(#[case] text: &str) {
    assert!(text.parse::<CacheScope>().is_err());
}
