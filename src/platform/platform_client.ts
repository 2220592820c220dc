import type { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { PlatformValue } from "./platform_value.ts";
import type { VmEntry } from "./vm_entry.ts";

/** Reads the platform's configuration service and VM list; never writes. */
export interface PlatformClient {
  /** Reads the published configuration; undefined where none was published. */
  readConfiguration(
    options: { readonly deadline: number },
  ): Promise<Result<PlatformValue | undefined, Diagnostic>>;
  /** Waits until the revision differs from `revision`; undefined where it did not by the deadline. */
  watchConfiguration(
    revision: number,
    options: { readonly deadline: number },
  ): Promise<Result<PlatformValue | undefined, Diagnostic>>;
  /** Reads the list of live and leaving VMs. */
  listVms(
    options: { readonly deadline: number },
  ): Promise<Result<readonly VmEntry[], Diagnostic>>;
  /** Closes every connection; watches that wait end with a failure. */
  close(): Promise<void>;
}
