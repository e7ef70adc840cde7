package org.damasktiller.node.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.damasktiller.platform.settings.SettingsReader;

/**
 * Loads the classes that the program of an entry VM uses, while the JVM records them for its class
 * data archive. Run by the build. The archive shortens the time in which no process serves after
 * all of them were restarted.
 */
public final class ClassArchiveTraining {

    /** For how long the program runs without a store, in milliseconds. */
    private static final long RUN_MILLIS = 1_500;

    /** The prefix of the names of the project's classes in JAR files. */
    private static final String CLASS_PREFIX = "org/damasktiller/";

    /** The suffix of the names of classes in JAR files. */
    private static final String CLASS_SUFFIX = ".class";

    /** Prevents instantiation. */
    private ClassArchiveTraining() {}

    /**
     * Loads the classes of the project, runs the program for a short time, and exits with code 0.
     *
     * @param arguments the path of the settings file
     * @throws IOException if a JAR file on the class path can't be read
     */
    public static void main(String[] arguments) throws IOException {
        for (String path : System.getProperty("java.class.path").split(":")) {
            loadClasses(Path.of(path));
        }
        new Timer("exit", true)
                .schedule(
                        new TimerTask() {
                            @Override
                            public void run() {
                                System.exit(0);
                            }
                        },
                        RUN_MILLIS);
        Path settings = Path.of(arguments[0]);
        new NodeProcess(settings, SettingsReader.read(settings), new Options()).run();
    }

    /**
     * Loads the classes of the project in a JAR file without initializing them.
     *
     * @param jar the path of the file
     * @throws IOException if the file can't be read
     */
    private static void loadClasses(Path jar) throws IOException {
        List<String> names;
        try (JarFile file = new JarFile(jar.toFile())) {
            names =
                    file.stream()
                            .map(JarEntry::getName)
                            .filter(name -> name.startsWith(CLASS_PREFIX))
                            .filter(name -> name.endsWith(CLASS_SUFFIX))
                            .filter(name -> !name.endsWith("-info" + CLASS_SUFFIX))
                            .toList();
        }
        ClassLoader loader = ClassArchiveTraining.class.getClassLoader();
        for (String name : names) {
            String className =
                    name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.');
            try {
                Class.forName(className, false, loader);
            } catch (ClassNotFoundException exception) {
                System.err.println(className + " is not archived: " + exception.getMessage());
            }
        }
    }
}
