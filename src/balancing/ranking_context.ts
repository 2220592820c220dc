import type { RandomSource } from "../runtime/random_source.ts";

/** What the ranking of candidates depends on besides the candidates. */
export interface RankingContext {
  readonly now: number;
  readonly random: RandomSource;
  readonly route: string;
  readonly goalMilliseconds: number;
  readonly ownZone: string;
  /** Moving average of the route's answers in bytes. */
  readonly answerBytes: number;
}
