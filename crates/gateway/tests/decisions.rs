//! The decisions of the gateway, without a socket: each test replays the load that its module answers.

mod decisions {
    mod admission;
    mod cache_index;
    mod endpoints;
    mod health;
    mod key_validity;
    mod peer_loads;
    mod placement;
    mod quarantine;
    mod retry_budget;
    mod rollout;
    mod slowness;
}
