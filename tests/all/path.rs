//! Prompts, orders and resumed runs from end to end through the real binary.

use bilberryford_standins::load::Outcome;
use rstest::rstest;

use crate::support::{Deployment, fast_engine};

#[rstest]
#[case::streamed(true)]
#[case::unstreamed(false)]
#[tokio::test]
async fn a_prompt_is_answered_byte_for_byte_by_every_instance(#[case] stream: bool) {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    for instance in 0..2 {
        let url = deployment.url(instance);
        let result = deployment
            .caller()
            .prompt(&url, "assistant", "when does the next tin come?", 40, stream)
            .await;
        assert_eq!(result.outcome, Outcome::Complete);
    }
}

#[tokio::test]
async fn an_order_sent_twice_with_its_key_runs_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    for instance in [0, 1, 0] {
        let outcome = deployment.caller().order(&deployment.url(instance), "desk", "order-1").await;
        assert_eq!(outcome, Outcome::Complete);
    }
    assert_eq!(deployment.services[0].0.stats().orders["linz-formula/order-1"], 1);
}

#[tokio::test]
async fn a_run_is_resumed_at_an_instance_that_does_not_hold_it() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let caller = deployment.caller();
    let result = caller.prompt(&deployment.url(0), "assistant", "hello", 30, true).await;
    let run = result.run.expect("the response names its run");
    let rest = caller.resume(&deployment.url(1), &run, 10).await.expect("the run is found");
    let full_text = bilberryford_standins::answer::full_text("hello", "v1", 30);
    assert_eq!(rest, full_text[full_text.len() / 3..]);
}
