/**
 * Two versions of a refund over framed Thrift, as deploy/translate.toml has them. Header, Load, Refused and Failed are
 * those of form.thrift.
 */
include "form.thrift"

/** Version 1. */
struct OldReceipt {
  1: required string receipt,
  2: optional form.Load load,
  3: required bool paid,
}

/** Version 2. */
struct Refund {
  /** The amount, 1 to 1,000,000,000. */
  1: required i64 pence,
  /** GBP. */
  2: required string currency,
  /** The day of the purchase, in days since 1970-01-01. */
  3: required i32 bought,
  4: required Goods goods,
  /** First and last name with | between. */
  5: required string traveller,
  /** At most 500 bytes. */
  6: optional string memo,
  7: optional string channel,
}

enum Goods {
  WATCH = 1,
  JEWELLERY = 2,
  OTHER = 3,
  FUEL = 4,
}

struct NewReceipt {
  1: required string receipt,
  2: optional form.Load load,
  /** paid or pending. */
  3: required string state,
}

service Refunds {
  /**
   * Version 1. The form is the header's key. The amount is in pounds with two decimals, 0.01 to 10000000.00; the day of the
   * purchase is dd/mm/yyyy; goods are W, J or O.
   */
  OldReceipt refund(1: required form.Header header, 2: required string amount, 3: required string bought, 4: required string goods,
    5: required string first, 6: required string last, 7: optional string memo)
    throws (1: form.Refused refused, 2: form.Failed failed),

  /** Version 2. The form is the header's key. */
  NewReceipt recordRefund(1: required form.Header header, 2: required Refund refund)
    throws (1: form.Refused refused, 2: form.Failed failed),
}
