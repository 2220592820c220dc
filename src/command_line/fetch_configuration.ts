import { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { compileConfigurationText } from "./compile_configuration_text.ts";
import { requestOperatorPage } from "./request_operator_page.ts";

/**
 * Fetches the configuration in force from a node, whose operators' listener is
 * at `address` (`HOST:PORT`), and compiles it.
 */
export async function fetchConfiguration(
  address: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  const page = await requestOperatorPage(address, "/configuration");
  return page.isOk
    ? compileConfigurationText(await page.value.body.text())
    : Result.err([page.error]);
}
