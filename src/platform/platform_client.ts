import type { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { PlatformValue } from "./platform_value.ts";
import type { VmEntry } from "./vm_entry.ts";

/** A read-only client of the platform's configuration service and VM list. Deadlines are in milliseconds since the Unix epoch. */
export interface PlatformClient {
  /** Reads the published configuration; undefined if none was published. */
  readConfiguration(
    options: { readonly deadline: number },
  ): Promise<Result<PlatformValue | undefined, Diagnostic>>;
  /** Waits until the revision differs from `revision`; undefined if it did not by the deadline. */
  watchConfiguration(
    revision: number,
    options: { readonly deadline: number },
  ): Promise<Result<PlatformValue | undefined, Diagnostic>>;
  /** Reads the list of live and leaving VMs. */
  listVms(
    options: { readonly deadline: number },
  ): Promise<Result<readonly VmEntry[], Diagnostic>>;
  /** Closes every connection; pending watches fail. */
  close(): Promise<void>;
}
