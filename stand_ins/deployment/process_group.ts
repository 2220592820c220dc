import type { Child } from "./child.ts";

/** The processes that a deployment has started, all ended with it. */
export interface ProcessGroup {
  /** Starts a program of the build, with its settings written to a file of its own. */
  start(
    name: string,
    options: {
      readonly program: string;
      readonly parameters?: readonly string[];
      readonly settings: object;
    },
  ): Child;
  /** Ends every process that still runs, by its process identifier, and removes the settings files. */
  end(): Promise<void>;
}
