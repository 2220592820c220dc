import type { ServiceCandidates } from "../balancing/service_candidates.ts";
import type { RegisterRecord } from "../register/register_record.ts";

/** The candidates of a service, and what they were derived from. */
export interface CandidatesCacheEntry {
  readonly candidates: ServiceCandidates;
  readonly candidatesVersion: number;
  /** Present if a removal does not count yet: then they hold only for these records. */
  readonly pendingRecords: readonly RegisterRecord[] | undefined;
  /** When the next removal counts, in milliseconds since the Unix epoch. */
  readonly validUntil: number;
}
