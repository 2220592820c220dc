/** What is known of the room at a service. */
export type CapacityOutlook =
  /** A gate may have a free slot. */
  | { readonly isFull: false }
  | {
    readonly isFull: true;
    /** The shortest wait for a slot, in milliseconds. */
    readonly waitMilliseconds: number;
  };
