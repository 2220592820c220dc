import type { ProcessorTime } from "../fleet/processor_time.ts";

/** Cost of one outcome query for a key at the node that responds. */
export interface QuestionSample extends ProcessorTime {
  /** Whether each query used a new connection. */
  readonly freshConnection: boolean;
  /** Control bytes received and sent per query, including HTTP heads. */
  readonly bytes: number;
}
