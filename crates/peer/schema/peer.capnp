@0xb6f1d0a94c3e2751;
# The protocol between entry instances. `crates/peer/README.md` says how the Rust file is generated.

struct Time {
  wallMs @0 :UInt64;
  counter @1 :UInt32;
}

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  dataCentre @3 :Text;
  state @4 :UInt8;
  # The generation that the member has in force.
  generation @5 :UInt64;
  # How long ago the sender found that out; 0 for the sender itself.
  ageMs @6 :UInt32;
}

struct EndpointView {
  endpoint @0 :Text;
  # Whether someone has seen it leaving.
  leaving @1 :Bool;
  # How many runs the sender has in flight there.
  inFlight @2 :UInt32;
  # How many prompt tokens of those are not yet prefilled.
  queuedTokens @3 :UInt32;
  # Its address; a replacement under the same name is another endpoint.
  address @4 :Text;
}

struct Heartbeat {
  at @0 :Time;
  sender @1 :Member;
  members @2 :List(Member);
  endpoints @3 :List(EndpointView);
  # Fingerprints of requests that may not run again.
  quarantined @4 :List(Data);
  # Instances of other environments are no peers.
  environment @5 :Text;
}

enum Verdict {
  # Claims the right to run a suspect, or to run suspects at an endpoint.
  ask @0;
  # The endpoint was lost while it ran the request beside others.
  crashed @1;
  # It ran clean; the claim is given back.
  clean @2;
  # The endpoint was lost while the request was its only suspect.
  convicted @3;
  # The claim is given back and nothing was learnt.
  released @4;
}

struct PlaceRequest {
  model @0 :Text;
  weightVersion @1 :Text;
  priority @2 :UInt8;
  promptTokens @3 :UInt32;
  maxTokens @4 :UInt32;
  deadlineMs @5 :UInt64;
  chain @6 :List(Data);
  excluded @7 :List(Text);
}

struct PlaceDecision {
  endpoint @0 :Text;
  # The store to import from; empty for none.
  store @1 :Text;
  importBlocks @2 :UInt32;
  reason @3 :Text;
}

# A row of the platform's list, told to an instance that can't read the list itself.
struct EndpointRow {
  endpoint @0 :Text;
  role @1 :Text;
  pool @2 :Text;
  address @3 :Text;
  dataCentre @4 :Text;
  leaving @5 :Bool;
}

interface Peer {
  # Exchanges views; both sides learn.
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);

  # The configuration in force when it is newer than `above`; empty otherwise.
  configuration @1 (above :UInt64) -> (generation :UInt64, version :UInt64, body :Data);

  # Asks for or reports on a request that may crash endpoints; sent to the fingerprint's owner.
  suspect @2 (fingerprint :Data, attempt :Text, verdict :Verdict, spanMs :UInt64) -> (crashes :UInt32, quarantined :Bool, granted :Bool);

  # Borrows in-flight slots of a team from the instance that owns its limit.
  borrow @3 (team :Text, borrower :Text, inUse :UInt32, want :UInt32) -> (granted :UInt32, validMs :UInt32);

  # Asks the instance that decides for a cell; an empty endpoint means that it can't say.
  place @4 (request :PlaceRequest) -> (decision :PlaceDecision);

  # Tells the instance that began a run that another one follows it for the caller.
  pickedUp @5 (run :Text) -> ();

  # The endpoints as listed when the platform last answered.
  endpoints @6 () -> (rows :List(EndpointRow));

  # What an instance that has just started has to know of requests that crash endpoints.
  standings @7 () -> (suspected :List(Data), quarantined :List(Data));
}
