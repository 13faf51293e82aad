//! Clients of the platform: object API, instance list, weight store.
