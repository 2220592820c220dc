import type { RandomSource } from "../runtime/random_source.ts";

/** The properties of a call and its node that the ranking of candidates depends on. */
export interface RankingContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  readonly random: RandomSource;
  /** Name of the call's route. */
  readonly route: string;
  /** Mean time to an answer of the route over the service. */
  readonly meanAnswerMilliseconds: number;
  /** Latency goal of the call. */
  readonly goalMilliseconds: number;
  readonly ownZone: string;
  /** Moving average of the size of the route's answers, in bytes. */
  readonly answerBytes: number;
}
