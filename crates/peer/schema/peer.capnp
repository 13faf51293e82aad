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
  # The configuration generation in force at the member.
  generation @5 :UInt64;
  # The age of the observation in milliseconds; 0 for the sender itself.
  ageMs @6 :UInt32;
}

struct EndpointView {
  endpoint @0 :Text;
  # True if any instance observed the endpoint leaving.
  leaving @1 :Bool;
  # The number of runs that the sender has in flight at the endpoint.
  inFlight @2 :UInt32;
  # The number of prompt tokens of these runs that are not yet prefilled.
  queuedTokens @3 :UInt32;
  # The address of the endpoint; a replacement under the same name is another endpoint.
  address @4 :Text;
}

struct Heartbeat {
  at @0 :Time;
  sender @1 :Member;
  members @2 :List(Member);
  endpoints @3 :List(EndpointView);
  # Fingerprints of quarantined requests.
  quarantined @4 :List(Data);
  # The environment of the sender; instances of other environments are not peers.
  environment @5 :Text;
}

enum Verdict {
  # Requests a claim: the right to run a suspect, or to run suspects at an endpoint.
  ask @0;
  # The endpoint was lost while it ran the request together with others.
  crashed @1;
  # The request ran without a crash; the claim is released and the request is cleared.
  clean @2;
  # The endpoint was lost while the request was its only suspect; the request is quarantined.
  convicted @3;
  # The claim is released without a result.
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
  # The store to import from; empty if there is none.
  store @1 :Text;
  importBlocks @2 :UInt32;
  reason @3 :Text;
}

# A row of the platform's list, reported to an instance that can't read the list itself.
struct EndpointRow {
  endpoint @0 :Text;
  role @1 :Text;
  pool @2 :Text;
  address @3 :Text;
  dataCentre @4 :Text;
  leaving @5 :Bool;
}

interface Peer {
  # Exchanges views; both sides apply the view of the other.
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);

  # Returns the configuration in force if its generation is above `above`, and an empty body otherwise.
  configuration @1 (above :UInt64) -> (generation :UInt64, version :UInt64, body :Data);

  # Requests a claim for, or reports on, a request that may crash endpoints; sent to the owner of the fingerprint.
  suspect @2 (fingerprint :Data, attempt :Text, verdict :Verdict, spanMs :UInt64) -> (crashes :UInt32, quarantined :Bool, granted :Bool);

  # Requests a grant of in-flight slots of a team from the owner of the team's limit.
  borrow @3 (team :Text, borrower :Text, inUse :UInt32, want :UInt32) -> (granted :UInt32, validMs :UInt32);

  # Requests a placement from the instance that decides for a cell; an empty endpoint means that it has no decision.
  place @4 (request :PlaceRequest) -> (decision :PlaceDecision);

  # Notifies the instance that began a run that another instance now relays it to the caller.
  pickedUp @5 (run :Text) -> ();

  # Returns the endpoints of the last list that was read from the platform.
  endpoints @6 () -> (rows :List(EndpointRow));

  # Returns the suspect and quarantined requests, for an instance that has just started.
  standings @7 () -> (suspected :List(Data), quarantined :List(Data));
}
