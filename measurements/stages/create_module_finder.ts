const modulePattern = /^ *\/\/ ((?:src|platform|node_modules)\/\S+)$/;

/**
 * Returns a function that names the module of a line of a bundle, from 0;
 * undefined before the first module. The bundle names each of its modules in a
 * comment before its text.
 */
export function createModuleFinder(
  bundle: string,
): (lineNumber: number) => string | undefined {
  let current: string | undefined;
  const modules = bundle.split("\n").map((line) => {
    current = modulePattern.exec(line)?.[1] ?? current;
    return current;
  });
  return (lineNumber) => modules[lineNumber];
}
