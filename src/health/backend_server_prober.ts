import type { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { BackendServerProbe } from "./backend_server_probe.ts";

/** Asks the backend server beside this node how it is. */
export interface BackendServerProber {
  /** Resolves with the answer, or with why there was none by the deadline; never rejects. */
  probe(
    options: { readonly deadline: number },
  ): Promise<Result<BackendServerProbe, Diagnostic>>;
  /** Closes every connection. */
  close(): Promise<void>;
}
