import type { Child } from "./child.ts";

/** The processes that a deployment has started; they are killed when it ends. */
export interface ProcessGroup {
  /** Starts a program of the build and passes it the path of a new file with its settings. */
  start(
    name: string,
    options: {
      readonly program: string;
      readonly parameters?: readonly string[];
      readonly settings: object;
    },
  ): Child;
  /** Kills every process that still runs, by its process identifier, and deletes the settings files. */
  end(): Promise<void>;
}
