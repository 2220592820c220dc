import type { ProfileFrame } from "./profile_frame.ts";

/** A processor profile as the runtime writes it. Times are in microseconds of the monotonic clock. */
export interface ProcessorProfile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: ProfileFrame;
  }[];
  readonly startTime: number;
  /** The identifier of the running function, for each sample. */
  readonly samples: readonly number[];
  /** The time of each sample since the one before. */
  readonly timeDeltas: readonly number[];
}
