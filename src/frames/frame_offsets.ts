/** Positions of the fields of a frame, in bytes from its start. */
export const frameOffsets = {
  /** Length of the payload; 4 bytes. */
  payloadBytes: 0,
  /** 1 byte. */
  kind: 4,
  /** Number of the offer on its connection; 4 bytes. */
  offer: 5,
} as const;
