import type { BackendAnswerHead } from "./backend_answer_head.ts";

/** The answer to a probe of the address of this VM's backend server. */
export interface ProbeAnswer {
  readonly head: BackendAnswerHead;
  /** When it had arrived, in milliseconds since the Unix epoch. */
  readonly answeredAt: number;
}
