import type { ChoicePlace } from "../balancing/choice_place.ts";
import type { ChoiceWay } from "../balancing/choice_way.ts";

/** The choice of a backend server for an offer, as the metrics count it. */
export interface ChoiceObservation {
  readonly way: ChoiceWay;
  readonly place: ChoicePlace;
  /** Age of the report of its load; undefined if there was none. */
  readonly reportAgeMilliseconds: number | undefined;
}
