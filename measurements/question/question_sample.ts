import type { ProcessorTime } from "../fleet/processor_time.ts";

/** What the questions about keys cost the node that answers them. */
export interface QuestionSample extends ProcessorTime {
  /** Whether each question had a connection of its own. */
  readonly freshConnection: boolean;
  /** Control bytes received and sent for each question, with HTTP heads. */
  readonly bytes: number;
}
