//! The capnp-rpc protocol between entry instances.
