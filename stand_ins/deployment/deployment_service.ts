import type { CallPriority } from "../../src/configuration/call_priority.ts";

/** A service of a deployment, with the calls that callers send to it. */
export interface DeploymentService {
  readonly name: string;
  readonly priority: CallPriority;
  readonly method: "GET" | "POST";
  /** Its share of the calls, in proportion to the other weights. */
  readonly weight: number;
  /** Size of an answer's body. */
  readonly bytes: number;
}
