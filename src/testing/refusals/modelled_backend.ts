import type { ModelledAnswer } from "./modelled_answer.ts";

/** A modelled backend server. */
export interface ModelledBackend {
  /** Receives the request on a connection; `onAnswer` gets each answer on it, undefined for its end. */
  receive(
    connection: number,
    onAnswer: (answer: ModelledAnswer | undefined) => void,
  ): void;
  /** Returns how often the request may have run. */
  countRuns(): number;
}
