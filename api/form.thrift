/**
 * The form service: what port kiosks ask of the form servers, over framed Thrift.
 *
 * Every call carries a Header, so that the agent between client and server knows what the call is about without
 * knowing its method. The agent reads the fields of the Header by number (deploy/thrift.toml); a service with another
 * Header, or with these fields spread over its arguments, is served by another configuration.
 */
namespace go formapi

struct Header {
  /** New with every call, also with a client's own repeat. At most 128 bytes. */
  1: required string correlationId,
  /** The tenant on whose behalf the client calls. */
  2: required string tenant,
  /** What the call is about: a form, a traveller. Servers that met it lately do less work for it. */
  3: optional string key,
  /** The same for all repeats of one intent. Calls that change something need it. */
  4: optional string idempotencyKey,
  /** How long the client will wait for the reply, in milliseconds from when it sent the call. */
  5: optional i64 timeLeftMs,
  /** The client's own repeat of a call that it gave up. */
  6: optional bool repeat,
}

/** What a server says of its own load, with a reply. */
struct Load {
  /** Share of the cores' time in use, 0 to 1. */
  1: optional double util,
  /** Calls done a second. */
  2: optional double qps,
  /** Errors a second. */
  3: optional double eps,
  /** Calls in hand. */
  4: optional double inflight,
  /** Calls that wait. */
  5: optional double queue,
}

struct FormResult {
  1: required string text,
  2: optional Load load,
}

struct Receipt {
  1: required string receiptId,
  2: optional Load load,
}

/** The call had no effect, or repeating it does no harm: the client may try again. */
exception Refused {
  /** When to come back, in milliseconds; 0 or absent where nothing is said. */
  1: optional i32 retryAfterMs,
  /** Said by a server: it has not begun the call and never will. */
  2: optional bool unprocessed,
  3: optional Load load,
}

/** No promise about the call's effect. */
exception Failed {
  1: optional string reason,
  2: optional Load load,
}

service FormService {
  /** Checks a form; safe to repeat. */
  FormResult formCheck(1: required Header header, 2: required binary form)
    throws (1: Refused refused, 2: Failed failed),

  /** Records a refund under an idempotency key: repeats are dropped within a pod, for a while. */
  Receipt refundRecord(1: required Header header, 2: required i64 pence, 3: string memo)
    throws (1: Refused refused, 2: Failed failed),

  /** Pays out in cash; must never run twice. */
  Receipt payOut(1: required Header header, 2: required i64 pence)
    throws (1: Refused refused, 2: Failed failed),

  /** Leaves a note on a form; nobody waits for it. */
  oneway void note(1: required Header header, 2: required string text),
}
