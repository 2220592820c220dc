import type { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { compileSnapshot } from "../configuration/compile_snapshot.ts";
import { parseConfiguration } from "../configuration/parse_configuration.ts";
import { splitConfiguration } from "../configuration/split_configuration.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";

/** Does with a published text what every node does with it, up to putting it in force. */
export function compileText(
  text: string,
): Result<CompiledConfiguration, readonly Diagnostic[]> {
  return parseConfiguration(text)
    .andThen((configuration) => splitConfiguration(configuration))
    .andThen((set) =>
      compileSnapshot(set).map((snapshot) => ({ set, snapshot }))
    );
}
