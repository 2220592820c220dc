/** Sizes of frames, in bytes. */
export const frameBytes = {
  /** Length of the payload, kind and number of the offer. */
  header: 9,
  /** Payload of a credit: the number of bytes that were used. */
  creditPayload: 4,
  payloadMaximum: 262_144,
  /** Longer requests and heads are sent as HTTP messages. */
  requestBodyMaximum: 65_536,
  /** A longer part of a body is sent in several frames, so that others come between. */
  dataMaximum: 16_384,
  /** Bytes of an answer that may be sent before they are known to be used. */
  windowMaximum: 65_536,
} as const;
