//! The decisions of the gateway, without a socket: each test replays the load that its module answers.

mod decisions {
    mod admission;
    mod cache_index;
    mod endpoints;
    mod health;
    mod key_validity;
    mod peer_loads;
    mod placement;
    mod repeats;
    mod rollout;
    mod slowness;
    mod suspects;
}
