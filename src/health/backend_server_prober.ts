import type { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { BackendServerProbe } from "./backend_server_probe.ts";

/** Probes the health and load endpoints of the backend server beside this node. */
export interface BackendServerProber {
  /**
   * Sends a probe. Resolves with the response, or with a diagnostic if there is
   * none by the deadline (in milliseconds since the Unix epoch). Never rejects.
   */
  probe(
    options: { readonly deadline: number },
  ): Promise<Result<BackendServerProbe, Diagnostic>>;
  /** Closes all connections. */
  close(): Promise<void>;
}
