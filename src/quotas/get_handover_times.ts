import { getSourceReadTiming } from "../source/get_source_read_timing.ts";
import type { SourceBounds } from "../source/source_bounds.ts";
import { formerOwnerMilliseconds } from "./former_owner_milliseconds.ts";
import type { HandoverTimes } from "./handover_times.ts";

/** Age of what a neighbour passes on, as a share of the change bound. */
const neighbourAgeShare = 0.7;

/** Returns the times that follow from the operators' bounds of the source. */
export function getHandoverTimes(bounds: SourceBounds): HandoverTimes {
  const { changeMilliseconds, contactMilliseconds } = bounds;
  // The longest interval between two reads, since a node with followers reads
  // more often.
  const { intervalMilliseconds } = getSourceReadTiming(bounds);
  const outdatedMilliseconds = contactMilliseconds + intervalMilliseconds;
  return {
    outdatedMilliseconds,
    handoverMilliseconds: outdatedMilliseconds +
      changeMilliseconds * neighbourAgeShare + formerOwnerMilliseconds,
  };
}
