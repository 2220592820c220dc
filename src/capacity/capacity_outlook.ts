/** What is known of the room at a service. */
export type CapacityOutlook =
  /** A gate may have a free slot. */
  | {
    readonly isFull: false;
    /** Whether no gate of one of the availability zones was found to be full. */
    readonly hasOpenZone: boolean;
  }
  | {
    readonly isFull: true;
    /** The shortest wait for a slot, in milliseconds. */
    readonly waitMilliseconds: number;
  };
