import type { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { compileSnapshot } from "../configuration/compile_snapshot.ts";
import { parseConfiguration } from "../configuration/parse_configuration.ts";
import { splitConfiguration } from "../configuration/split_configuration.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";

/** Parses, splits and compiles the text of a document as a node does before applying it. */
export function compileConfigurationText(
  text: string,
): Result<CompiledConfiguration, readonly Diagnostic[]> {
  return parseConfiguration(text)
    .andThen((configuration) => splitConfiguration(configuration))
    .andThen((set) =>
      compileSnapshot(set).map((snapshot) => ({ set, snapshot }))
    );
}
