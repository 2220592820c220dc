import type { SourceBounds } from "../source/source_bounds.ts";
import { formerOwnerMilliseconds } from "./former_owner_milliseconds.ts";
import type { HandoverTimes } from "./handover_times.ts";

/** The longest pause between two reads, as a share of the change bound. */
const readPauseShare = 0.45;
/** Age of what a neighbour passes on, as a share of the change bound. */
const neighbourAgeShare = 0.7;

/** Returns the times that follow from the operators' bounds of the source. */
export function getHandoverTimes(bounds: SourceBounds): HandoverTimes {
  const { changeMilliseconds, contactMilliseconds } = bounds;
  const outdatedMilliseconds = contactMilliseconds +
    changeMilliseconds * readPauseShare;
  return {
    outdatedMilliseconds,
    handoverMilliseconds: outdatedMilliseconds +
      changeMilliseconds * neighbourAgeShare + formerOwnerMilliseconds,
  };
}
