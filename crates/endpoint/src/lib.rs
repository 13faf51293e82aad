//! Clients of model engines, plain services and store instances.
